"""Buffers the endpoint's response so that a router can resume an interrupted transfer.

The task that calls the endpoint appends to the buffer. Any number of readers follow it, each
from its own byte offset, while the response is still arriving or after it has ended.
"""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from ..errors import CallFailure
from ..wire.headers import EVENT_STREAM

UNLIMITED_BYTES = 1 << 62


@attrs.define(frozen=True)
class ResponseHead:
    """Status, content type and other forwarded headers of a response."""

    status: int
    content_type: str
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return self.content_type.startswith(EVENT_STREAM)


class ResponseBuffer:
    """Response of one attempt, from its head to its end or failure."""

    def __init__(self, *, start: int = 0, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Creates an empty buffer.

        Args:
            start: Offset, within the response body, of the first byte that will be appended.
                It is greater than zero if the buffer takes over a stream at that offset.
            limit_bytes: Size at which the buffer discards its oldest bytes.
        """
        self._content = bytearray()
        self._start = start
        self._limit_bytes = limit_bytes
        self._head: ResponseHead | None = None
        self._failure: CallFailure | None = None
        self._finished = False
        self._changed = trio.Event()

    @property
    def head(self) -> ResponseHead | None:
        """The head, or None until it is published."""
        return self._head

    @property
    def content(self) -> bytes:
        """Bytes of the body that are still in the buffer."""
        return bytes(self._content)

    @property
    def start_offset(self) -> int:
        """Offset of the oldest byte in the buffer."""
        return self._start

    @property
    def end_offset(self) -> int:
        """Offset just after the newest byte."""
        return self._start + len(self._content)

    @property
    def failure(self) -> CallFailure | None:
        """Why the response is incomplete, or None if no failure is known."""
        return self._failure

    @property
    def is_finished(self) -> bool:
        """Whether the response has ended, successfully or not."""
        return self._finished

    @property
    def is_complete(self) -> bool:
        """Whether the response ended without a failure."""
        return self._finished and self._failure is None

    def ends_with(self, end: bytes) -> bool:
        """Tells whether the response received so far ends with the given bytes.

        Args:
            end: Expected last bytes.

        Returns:
            Whether they match. If the buffer took over a stream in the middle of these bytes,
            only those after its start offset are compared.
        """
        if self._start and self._content and len(self._content) < len(end):
            return end.endswith(self._content)
        return self._content.endswith(end)

    def publish_head(self, head: ResponseHead) -> None:
        """Stores the head and wakes the readers; later calls have no effect.

        Args:
            head: Status and headers that the endpoint sent.
        """
        if self._head is None:
            self._head = head
            self._notify()

    def append(self, chunk: bytes) -> None:
        """Appends body bytes and wakes the readers.

        Args:
            chunk: The next bytes of the body.
        """
        self._content += chunk
        excess = len(self._content) - self._limit_bytes
        if excess > 0:
            # Drops at least half of the buffer, so that a long response does not move the
            # remaining bytes with every chunk.
            excess = max(excess, self._limit_bytes // 2)
            self._start += excess
            self._content = self._content[excess:]
        self._notify()

    def finish(self, failure: CallFailure | None = None) -> None:
        """Ends the response and wakes the readers; later calls have no effect.

        Args:
            failure: Why the response is incomplete, or None if it is complete.
        """
        if not self._finished:
            self._failure = failure
            self._finished = True
            self._notify()

    async def wait_head(self) -> ResponseHead | CallFailure:
        """Waits for the head.

        Returns:
            The head, or the failure if the response ended without one.
        """
        while self._head is None and not self._finished:
            await self._changed.wait()
        if self._head is not None:
            return self._head
        assert self._failure is not None, 'a response that ended without a head has a failure'
        return self._failure

    async def wait_content(self) -> None:
        """Waits until the first body byte arrives or the response ends."""
        while not self._content and not self._finished:
            await self._changed.wait()

    async def wait_finished(self) -> None:
        """Waits until the response has ended."""
        while not self._finished:
            await self._changed.wait()

    async def read(
        self,
        offset: int,
        *,
        flush_interval_seconds: float,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        """Yields the body from an offset on, combining chunks that arrive close together.

        Args:
            offset: Offset of the first byte to yield.
            flush_interval_seconds: Time after a yield for which newly arriving bytes are
                collected. Bytes that are already buffered, and the end of the response, are
                not delayed.
            clock: Returns the time in seconds.

        Yields:
            Contiguous bytes. Stops before the end of the response if the next byte has
            already been discarded, because the reader was too slow for the buffer's limit.
        """
        next_yield_at = clock()
        while True:
            if offset < self._start:
                return
            if self.end_offset > offset:
                chunk = bytes(self._content[offset - self._start :])
                offset += len(chunk)
                yield chunk
                next_yield_at = clock() + flush_interval_seconds
                continue
            if self._finished:
                return
            await self._changed.wait()
            await self._wait_until(next_yield_at, clock)

    async def _wait_until(self, next_yield_at: float, clock: Callable[[], float]) -> None:
        while not self._finished and clock() < next_yield_at:
            with trio.move_on_after(next_yield_at - clock()):
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
