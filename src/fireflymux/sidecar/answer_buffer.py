"""Answer of one attempt, kept by the sidecar so that a broken transfer can be resumed."""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from ..errors import Refused

UNLIMITED_BYTES = 1 << 62


@attrs.define(frozen=True)
class ResponseHead:
    """Status, content type and further headers of an answer."""

    status: int
    content_type: str
    headers: dict[str, str] = attrs.field(factory=dict)


class AnswerBuffer:
    """Bytes of one answer as the endpoint sends them; readers start at any kept offset."""

    def __init__(self, *, start: int = 0, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Starts empty.

        Args:
            start: Offset of the first byte that will be appended.
            limit_bytes: Bytes to keep; the oldest are dropped beyond that.
        """
        self._content = bytearray()
        self._start = start
        self._limit_bytes = limit_bytes
        self._head: ResponseHead | None = None
        self._failure: Refused | None = None
        self._finished = False
        self._changed = trio.Event()

    @property
    def content(self) -> bytes:
        """Bytes that are kept."""
        return bytes(self._content)

    @property
    def start_offset(self) -> int:
        """Offset of the oldest byte that is kept."""
        return self._start

    @property
    def end_offset(self) -> int:
        """Offset after the newest byte."""
        return self._start + len(self._content)

    @property
    def failure(self) -> Refused | None:
        """Why the answer ended without being whole."""
        return self._failure

    @property
    def is_finished(self) -> bool:
        """Whether the answer ended, whole or not."""
        return self._finished

    @property
    def is_complete(self) -> bool:
        """Whether the answer ended and nothing of it is missing."""
        return self._finished and self._failure is None

    def ends_with(self, end: bytes) -> bool:
        """Tells whether the last bytes received are the given ones.

        Args:
            end: The bytes to compare.

        Returns:
            Whether they are the end of the answer so far; an answer that was resumed within
            these bytes counts as well.
        """
        if self._start and self._content and len(self._content) < len(end):
            return end.endswith(self._content)
        return self._content.endswith(end)

    def publish_head(self, head: ResponseHead) -> None:
        """Publishes the head; a later call has no effect.

        Args:
            head: Status and content type.
        """
        if self._head is None:
            self._head = head
            self._notify()

    def append(self, chunk: bytes) -> None:
        """Adds bytes.

        Args:
            chunk: Bytes in the order of the endpoint.
        """
        self._content += chunk
        excess = len(self._content) - self._limit_bytes
        if excess > 0:
            # Drops more than needed, so that a long answer is not moved for each chunk.
            excess = max(excess, self._limit_bytes // 2)
            self._start += excess
            self._content = self._content[excess:]
        self._notify()

    def finish(self, failure: Refused | None = None) -> None:
        """Ends the answer; a later call has no effect.

        Args:
            failure: Why it is not whole, or None if it is.
        """
        if not self._finished:
            self._failure = failure
            self._finished = True
            self._notify()

    async def wait_head(self) -> ResponseHead | Refused:
        """Waits until the head or a failure is known.

        Returns:
            The head, or the failure if there is no head.
        """
        while self._head is None and not self._finished:
            await self._changed.wait()
        if self._head is not None:
            return self._head
        assert self._failure is not None, 'an answer without head is a failure'
        return self._failure

    async def wait_content(self) -> None:
        """Waits until the first byte arrived or the answer ended."""
        while not self._content and not self._finished:
            await self._changed.wait()

    async def wait_finished(self) -> None:
        """Waits until the answer ended."""
        while not self._finished:
            await self._changed.wait()

    async def read(
        self,
        offset: int,
        *,
        flush_interval_seconds: float,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        """Yields the bytes from an offset on, several chunks together.

        Args:
            offset: First byte to yield.
            flush_interval_seconds: Shortest time between two yields but for the last.
            clock: Returns the time in seconds.

        Yields:
            Bytes without gap; ends early if the reader is slower than the limit allows.
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
