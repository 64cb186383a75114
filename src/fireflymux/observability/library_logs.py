"""Writes reports of libraries and the interpreter to the structured log.

Otherwise, warnings and exceptions would be written as plain text between the JSON lines, where
tools that read the log cannot parse them.
"""

import logging
import sys
import traceback
from types import TracebackType

from .logs import get_logger

_log = get_logger(__name__)


class _LibraryHandler(logging.Handler):
    """Writes records of the standard `logging` module as lines of the structured log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record.

        Args:
            record: The record.
        """
        details = {'source': record.name, 'text': record.getMessage()}
        if record.exc_info:
            details['error'] = ''.join(traceback.format_exception(*record.exc_info))
        log_method = _log.error if record.levelno >= logging.ERROR else _log.warning
        log_method('library_report', **details)


def _report_unraisable(unraisable: 'sys.UnraisableHookArgs') -> None:
    """Logs an exception that cannot be raised, such as one in a finalizer."""
    _log.error(
        'exception_not_raised',
        text=unraisable.err_msg or 'exception ignored',
        source=repr(unraisable.object),
        error=''.join(traceback.format_exception(unraisable.exc_value)),
    )


def _report_crash(
    error_type: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    """Logs an uncaught exception, which ends the process."""
    lines = traceback.format_exception(error_type, error, trace)
    _log.critical('crashed', error=''.join(lines))


def redirect_library_logs() -> None:
    """Redirects library log records, warnings and uncaught exceptions to the structured log."""
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(logging.WARNING)
    logging.captureWarnings(True)
    sys.unraisablehook = _report_unraisable
    sys.excepthook = _report_crash
