"""Limits the rate of log lines, and drops lines rather than block on a slow reader of the log."""

import os
import select
import time
from collections.abc import Callable

import orjson

#: Lines of one kind that are written in each second; further ones are suppressed and counted.
_LINES_PER_SECOND = 200
#: Largest size of a line: a pipe that is reported writable accepts this many bytes without
#: blocking (PIPE_BUF on Linux).
LINE_BYTES = 4096


class LogStream:
    """Stream that writes lines to a file descriptor only if the write cannot block.

    Attributes:
        dropped: Lines dropped since the last write that succeeded.
    """

    def __init__(self, descriptor: int) -> None:
        """Creates a stream that writes to an open descriptor.

        Args:
            descriptor: The descriptor.
        """
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, line: str) -> None:
        """Writes a line, or drops and counts it if the write could block.

        The first write after dropped lines is preceded by a line that states their number.

        Args:
            line: The line, including its line end; cut after `LINE_BYTES` bytes.
        """
        if not line:
            return
        if not self._is_writable():
            self.dropped += 1
            return
        if self.dropped:
            record = {'event': 'lines_dropped', 'module': 'log_stream', 'count': self.dropped}
            self.dropped = 0
            os.write(self._descriptor, orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE))
            if not self._is_writable():
                self.dropped = 1
                return
        os.write(self._descriptor, line.encode()[:LINE_BYTES])

    def flush(self) -> None:
        """Does nothing, since lines are not buffered."""

    def _is_writable(self) -> bool:
        return bool(select.select((), (self._descriptor,), (), 0)[1])


class LineRateLimiter:
    """Rate limit for log lines: counts the written and suppressed lines of each kind."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Starts without lines.

        Args:
            clock: Returns the current time in seconds.
        """
        self._clock = clock
        self._current_second = -1
        self._written_by_kind: dict[str, int] = {}
        self._suppressed_by_kind: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Counts a line, and tells whether it may be written.

        Args:
            kind: Kind of the line, which is the name of its event.

        Returns:
            Whether the limit of the kind is not yet reached in this second.
        """
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._written_by_kind.clear()
        written = self._written_by_kind.get(kind, 0)
        self._written_by_kind[kind] = written + 1
        if written < _LINES_PER_SECOND:
            return True
        self._suppressed_by_kind[kind] = self._suppressed_by_kind.get(kind, 0) + 1
        return False

    def take_suppressed_count(self, kind: str) -> int:
        """Returns and resets the number of suppressed lines of a kind.

        Args:
            kind: Kind of the line, which is the name of its event.

        Returns:
            The number of lines suppressed since the previous call.
        """
        return self._suppressed_by_kind.pop(kind, 0)
