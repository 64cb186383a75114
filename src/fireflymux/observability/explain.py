"""Tells the story of one request from the logs of all processes, in order of time."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs
import orjson

#: Changes of what a process believed this long before a request's lines are shown with them.
_CONTEXT_DURATION = timedelta(seconds=2)
_COMMON_FIELDS = frozenset(('time', 'level', 'module', 'event', 'instance', 'request'))
#: Events that concern single requests; all others change what a process believes.
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
        time: When it was written.
        instance: Which process wrote it.
        event: What happened.
        request: Identifier of the request that it is about; empty if it is about none.
        details: Its other fields.
    """

    time: datetime
    instance: str
    event: str
    request: str
    details: dict[str, Any]

    def __str__(self) -> str:
        """Describes the line for people."""
        details = ' '.join('{0}={1}'.format(*item) for item in self.details.items())
        prefix = '' if self.request else '  (state) '
        return '{0:%H:%M:%S.%f} {1} {2}{3} {4}'.format(
            self.time, self.instance, prefix, self.event, details
        )


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Reads log lines; whatever stands before a line's first brace is skipped.

    Args:
        lines: Lines of one or more logs.

    Yields:
        The lines that hold a record of this system.
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
    """Selects the lines that explain what became of a request.

    Args:
        request: Identifier of the caller's attempt.
        lines: Lines of all processes.

    Returns:
        The request's lines, and the changes of state of the same processes shortly before and
        during them, in order of time; empty if no line names the request.
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
