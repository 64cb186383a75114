"""Selects the log lines of all processes that explain the outcome of one request."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs
import orjson

#: State changes are included from this long before the first line of the request.
_CONTEXT_DURATION = timedelta(seconds=2)
#: Fields of every log line, which are not repeated in its details.
_COMMON_FIELDS = frozenset(('time', 'level', 'module', 'event', 'instance', 'request'))
#: Events that concern a single request; all others are changes of the state of a process.
_REQUEST_EVENTS = frozenset(
    (
        'request_placed',
        'request_failed',
        'request_denied',
        'request_not_placed',
        'attempt_ended',
        'caller_left',
    )
)


@attrs.define(frozen=True)
class LogLine:
    """One line of a log.

    Attributes:
        time: Time at which it was written.
        instance: Name of the process that wrote it.
        event: Name of the event.
        request: Identifier of the request that it concerns; empty if it concerns none.
        details: All other fields.
    """

    time: datetime
    instance: str
    event: str
    request: str
    details: dict[str, Any]

    def __str__(self) -> str:
        """Formats the line as text; one that concerns no request is marked as a state change."""
        details = ' '.join('{0}={1}'.format(*item) for item in self.details.items())
        prefix = '' if self.request else '  (state) '
        return '{0:%H:%M:%S.%f} {1} {2}{3} {4}'.format(
            self.time, self.instance, prefix, self.event, details
        )


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines, ignoring any text before the first opening brace of a line.

    Args:
        lines: Lines of one or more logs.

    Yields:
        The lines that contain a log record of this system; others are skipped.
    """
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            raw = orjson.loads(line[start:])
            time = datetime.fromisoformat(raw['time'].removesuffix('Z'))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        details = {name: value for name, value in raw.items() if name not in _COMMON_FIELDS}
        yield LogLine(
            time,
            raw.get('instance', ''),
            raw.get('event', ''),
            raw.get('request', ''),
            details,
        )


def explain_request(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Selects the lines that explain the outcome of a request.

    Args:
        request: Identifier of the caller's attempt.
        lines: Log lines of all processes.

    Returns:
        The lines of the request and the state changes of the same processes from shortly before
        the first to the last of them, sorted by time; empty if the request has no lines.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.request == request]
    if not request_lines:
        return []
    start_time = min(line.time for line in request_lines) - _CONTEXT_DURATION
    end_time = max(line.time for line in request_lines)
    instances = {line.instance for line in request_lines}
    context_lines = [
        line
        for line in all_lines
        if line.event not in _REQUEST_EVENTS
        and line.instance in instances
        and start_time <= line.time <= end_time
    ]
    return sorted(request_lines + context_lines, key=lambda line: line.time)
