"""Serves one caller's connection: one task reads, one answers, in the order of the requests."""

import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

import trio

from .messages import HttpLimits, Request, encode_head, status_line
from .request_parser import RequestParser, Violation

_RECEIVE_BYTES = 65536
#: Requests read ahead of the answer to the one before.
_MAXIMUM_PIPELINED = 4
_REQUEST_TIMEOUT_STATUS = 408
#: Time for the peer to take the last answer before the connection is dropped.
_LINGER_SECONDS = 1.0
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_CHUNK_END = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'

Handler = Callable[[Request, 'ServerConnection'], Awaitable[None]]


class ServerConnection:
    """One connection of a caller.

    Attributes:
        is_answered: Whether the head of the answer to the current request went out.
        must_close: Whether the connection ends after the current answer.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: HttpLimits,
        *,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Takes over an accepted socket.

        Args:
            sock: The socket.
            limits: Bounds on what the caller may send.
            is_stopping: Tells whether connections end after their current answer.
        """
        self.is_answered = False
        self.must_close = False
        self._socket = sock
        self._limits = limits
        self._is_stopping = is_stopping
        self._parser = RequestParser(limits, self._take_request)
        self._requests: deque[Request] = deque()
        self._changed = trio.Event()
        self._is_answering = False
        self._read_scope = trio.CancelScope()
        self._read_deadline = trio.current_time() + limits.idle_seconds
        self._is_read_over = False
        self._is_broken = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (
            self._is_answering
            or self._requests
            or self._parser.is_in_head
            or self._parser.is_in_body
        )

    def close_if_idle(self) -> None:
        """Ends the connection if no request is being read or answered."""
        if self.is_idle:
            self._read_scope.cancel()

    def _set_read_deadline(self, seconds: float) -> None:
        self._read_deadline = trio.current_time() + seconds
        self._read_scope.deadline = self._read_deadline

    async def serve(self, handle: Handler) -> None:
        """Answers the requests of the connection until it ends.

        Args:
            handle: Answers one request; cancelled when the caller leaves.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._answer_requests, handle, nursery.cancel_scope)
                await self._read()
                if not self._is_answering or self._is_broken:
                    nursery.cancel_scope.cancel()
        finally:
            self._socket.close()

    async def answer(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        content: bytes,
    ) -> None:
        """Sends a whole answer.

        Args:
            status: Status code.
            fields: Field lines without the framing of the body.
            content: The body.
        """
        self.is_answered = True
        lines = [*fields, (b'Content-Length', b'%d' % len(content))]
        lines.extend(self._connection_fields())
        await self._send(encode_head(status_line(status), lines) + content)

    async def start_answer(self, status: int, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Sends the head of an answer that comes in chunks.

        Args:
            status: Status code.
            fields: Field lines without the framing of the body.
        """
        self.is_answered = True
        lines = [*fields, (b'Transfer-Encoding', b'chunked')]
        lines.extend(self._connection_fields())
        await self._send(encode_head(status_line(status), lines))

    async def send_chunk(self, content: bytes) -> None:
        """Sends a part of the body."""
        await self._send(b'%x\r\n%b%b' % (len(content), content, _CHUNK_END))

    async def end_answer(self) -> None:
        """Sends the end of an answer that came in chunks."""
        await self._send(_LAST_CHUNK)

    def abort(self) -> None:
        """Breaks the connection off, so that an answer begun does not look whole."""
        self.must_close = True
        self._is_broken = True

    def _connection_fields(self) -> list[tuple[bytes, bytes]]:
        if self._is_stopping():
            self.must_close = True
        return [(b'Connection', b'close')] if self.must_close else []

    async def _send(self, content: bytes) -> None:
        view = memoryview(content)
        while view:
            sent = await self._socket.send(view)
            view = view[sent:]

    def _take_request(self, request: Request) -> None:
        request.received_at = trio.current_time()
        self._requests.append(request)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _read(self) -> None:
        while self._parser.violation is None:
            while len(self._requests) >= _MAXIMUM_PIPELINED:
                await self._changed.wait()
            received = await self._receive()
            if received is None:
                break
            if not received:
                self._is_broken = True
                return
            was_in_head = self._parser.is_in_head
            self._parser.feed(received)
            self._extend_read_deadline(was_in_head=was_in_head)
            if self._parser.expects_continue and self._parser.is_in_body:
                self._parser.expects_continue = False
                await self._send(_CONTINUE)
        self._is_read_over = True
        self._notify()

    async def _receive(self) -> bytes | None:
        """Receives bytes; None after a timeout, empty after the end of the connection."""
        with trio.CancelScope(deadline=self._read_deadline) as self._read_scope:
            try:
                return await self._socket.recv(_RECEIVE_BYTES)
            except OSError:
                return b''
        if self._parser.is_in_head or self._parser.is_in_body:
            self._parser.violation = Violation(_REQUEST_TIMEOUT_STATUS, 'the request is too slow')
        return None

    def _extend_read_deadline(self, *, was_in_head: bool) -> None:
        if self._parser.is_in_head:
            if not was_in_head:
                self._set_read_deadline(self._limits.header_seconds)
        elif self._parser.is_in_body:
            self._set_read_deadline(self._limits.idle_seconds)
        elif self._is_answering or self._requests:
            self._set_read_deadline(float('inf'))

    async def _answer_requests(self, handle: Handler, scope: trio.CancelScope) -> None:
        try:
            while not self.must_close:
                while not self._requests and not self._is_read_over:
                    await self._changed.wait()
                if not self._requests:
                    break
                await self._answer_next(handle)
            if self._parser.violation is not None and not self.must_close:
                await self._answer_violation(self._parser.violation)
            if not self._is_broken:
                await self._linger()
        except OSError:
            self._is_broken = True
        scope.cancel()

    async def _answer_next(self, handle: Handler) -> None:
        request = self._requests.popleft()
        self._is_answering = True
        self.is_answered = False
        self.must_close = not request.keeps_alive
        await handle(request, self)
        self._is_answering = False
        if self.is_idle:
            self._set_read_deadline(self._limits.idle_seconds)
        self._notify()

    async def _answer_violation(self, violation: Violation) -> None:
        self.must_close = True
        await self.answer(violation.status, (), violation.reason.encode())

    async def _linger(self) -> None:
        """Lets the caller read the last answer: unread bytes would reset the connection."""
        self._socket.shutdown(socket.SHUT_WR)
        if self._parser.violation is None:
            return
        with trio.move_on_after(_LINGER_SECONDS):
            while await self._socket.recv(_RECEIVE_BYTES):
                continue
