"""Structured logs: one JSON object for each event, as a line on standard output."""

import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import logbook
import orjson

from .log_stream import LINE_BYTES, LineRateLimiter, LogStream

_LEVELS: Mapping[str, int] = MappingProxyType(
    {
        'debug': logbook.DEBUG,
        'info': logbook.INFO,
        'warning': logbook.WARNING,
        'error': logbook.ERROR,
    }
)
#: Characters that are kept of each field of a line that is too long; the last ones, since a
#: traceback ends with the exception.
_FIELD_CHARACTERS = 500


def _format_record(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line: dict[str, Any] = {
        'time': '{0}Z'.format(record.time.isoformat()),
        'level': record.level_name.lower(),
        'module': record.channel,
        'event': record.message,
    }
    line.update(record.kwargs)
    if record.exc_info:
        line['error'] = record.formatted_exception
    encoded = orjson.dumps(line, default=str)
    if len(encoded) >= LINE_BYTES:
        encoded = orjson.dumps(_shorten(line))
    return encoded.decode()


def _shorten(line: Mapping[str, Any]) -> dict[str, Any]:
    """Shortens the long fields of a line, which would otherwise be cut within its JSON."""
    shortened: dict[str, Any] = {}
    for name, value in line.items():
        text = str(value)
        shortened[name] = value if len(text) <= _FIELD_CHARACTERS else text[-_FIELD_CHARACTERS:]
    return shortened


def configure_logging(level: str, *, instance: str) -> None:
    """Configures the process to write its log to standard output.

    Args:
        level: Lowest level that is written, one of those in the settings schema.
        instance: Name of the instance, which is added to every line.
    """
    budget = LineRateLimiter()

    def is_within_budget(record: logbook.LogRecord, handler: logbook.Handler) -> bool:
        return budget.allows(record.message)

    handler = logbook.StreamHandler(
        LogStream(sys.stdout.fileno()),
        level=_LEVELS[level],
        filter=is_within_budget,
    )
    handler.formatter = _format_record
    handler.push_application()

    def add_instance(record: logbook.LogRecord) -> None:
        record.kwargs['instance'] = instance
        left_out = budget.take_suppressed_count(record.message)
        if left_out:
            record.kwargs['left_out'] = left_out

    logbook.Processor(add_instance).push_application()


def get_logger(module: str) -> logbook.Logger:
    """Returns the logger of a module.

    Args:
        module: The module's `__name__`.

    Returns:
        The logger; keyword arguments of its methods become fields of the line.
    """
    return logbook.Logger(module.rpartition('.')[2])
