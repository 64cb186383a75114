"""Bounds what a process writes to its log: lines by kind, and never a wait for the reader."""

import os
import select
import time
from collections.abc import Callable

import orjson

#: Lines of one kind that are written in a second; the rest are counted.
_LINES_PER_SECOND = 200
#: A pipe that is writable takes this many bytes without a wait (POSIX's PIPE_BUF).
LINE_BYTES = 4096


class LogStream:
    """A file descriptor that lines go to only while they cannot block.

    Attributes:
        dropped: Lines that were not written since the reader was last seen to read.
    """

    def __init__(self, descriptor: int) -> None:
        """Writes to an open descriptor.

        Args:
            descriptor: The descriptor.
        """
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, line: str) -> None:
        """Writes a line, or counts it as dropped if the reader does not keep up.

        Args:
            line: The line with its end.
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
        """Does nothing: each line is written at once."""

    def _is_writable(self) -> bool:
        return bool(select.select((), (self._descriptor,), (), 0)[1])


class LineBudget:
    """Lines of each kind in the current second, and how many were left out."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Starts a second.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._current_second = -1
        self._written_by_kind: dict[str, int] = {}
        self._suppressed_by_kind: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Counts a line and tells whether it is written.

        Args:
            kind: Kind of the line.

        Returns:
            Whether the kind has lines left in this second.
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

    def take_left_out(self, kind: str) -> int:
        """Returns how many lines of a kind were left out since the last one written.

        Args:
            kind: Kind of the line.

        Returns:
            The number; it starts anew.
        """
        return self._suppressed_by_kind.pop(kind, 0)
