"""Writes one JSON line to standard output for each change of state."""

import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import logbook
import orjson

from .log_stream import LINE_BYTES, LineBudget, LogStream

_LEVELS: Mapping[str, int] = MappingProxyType(
    {
        'debug': logbook.DEBUG,
        'info': logbook.INFO,
        'warning': logbook.WARNING,
        'error': logbook.ERROR,
    }
)
#: Characters of a field that are kept where a line is too long; the end tells most.
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
    """Cuts the fields of a line that is too long, so that the line stays whole."""
    shortened: dict[str, Any] = {}
    for name, value in line.items():
        text = str(value)
        shortened[name] = value if len(text) <= _FIELD_CHARACTERS else text[-_FIELD_CHARACTERS:]
    return shortened


def start_logs(level: str, *, instance: str) -> None:
    """Sends the records of this process to standard output.

    Args:
        level: Lowest level that is written; a key of the settings schema.
        instance: Name that every line carries.
    """
    budget = LineBudget()

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
        left_out = budget.take_left_out(record.message)
        if left_out:
            record.kwargs['left_out'] = left_out

    logbook.Processor(add_instance).push_application()


def get_logger(module: str) -> logbook.Logger:
    """Returns the logger of a module.

    Args:
        module: The module's `__name__`.

    Returns:
        A logger; keyword arguments of its calls become fields of the line.
    """
    return logbook.Logger(module.rpartition('.')[2])
