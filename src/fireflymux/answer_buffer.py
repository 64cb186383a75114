"""Answer of one attempt, kept by the sidecar so that a broken transfer can be resumed."""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from .errors import Refused


@attrs.define
class AnswerHead:
    """Status and content type of an answer."""

    status: int
    content_type: str


class AnswerBuffer:
    """Bytes of one answer as the endpoint sends them; readers start at any offset."""

    def __init__(self) -> None:
        """Starts empty."""
        self._content = bytearray()
        self._head: AnswerHead | None = None
        self._failure: Refused | None = None
        self._finished = False
        self._changed = trio.Event()

    @property
    def content(self) -> bytes:
        """Bytes received so far."""
        return bytes(self._content)

    @property
    def size(self) -> int:
        """Number of bytes received so far."""
        return len(self._content)

    @property
    def failure(self) -> Refused | None:
        """Why the answer ended without being whole."""
        return self._failure

    @property
    def is_finished(self) -> bool:
        """Whether the answer ended, whole or not."""
        return self._finished

    @property
    def is_whole(self) -> bool:
        """Whether the answer ended and nothing of it is missing."""
        return self._finished and self._failure is None

    def ends_with(self, end: bytes) -> bool:
        """Tells whether the last bytes received are the given ones.

        Args:
            end: The bytes to compare.

        Returns:
            Whether they are the end of the answer so far.
        """
        return self._content.endswith(end)

    def start(self, head: AnswerHead) -> None:
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

    async def wait_head(self) -> AnswerHead | Refused:
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
        flush_seconds: float,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        """Yields the bytes from an offset on, several chunks together.

        Args:
            offset: First byte to yield.
            flush_seconds: Shortest time between two yields but for the last.
            clock: Returns the time in seconds.

        Yields:
            Bytes without gap.
        """
        earliest = clock()
        while True:
            if len(self._content) > offset:
                chunk = bytes(self._content[offset:])
                offset += len(chunk)
                yield chunk
                earliest = clock() + flush_seconds
                continue
            if self._finished:
                return
            await self._changed.wait()
            await self._wait_until(earliest, clock)

    async def _wait_until(self, earliest: float, clock: Callable[[], float]) -> None:
        while not self._finished and clock() < earliest:
            with trio.move_on_after(earliest - clock()):
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
