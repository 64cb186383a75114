"""Serves one caller's connection: one task reads, one answers, in the order of the requests."""

import socket
from collections import deque
from collections.abc import Awaitable, Callable

import trio

from .answer_writer import AnswerWriter
from .messages import HttpLimits, Request
from .request_parser import RequestParser, Violation

_RECEIVE_BYTES = 65536
#: Requests read ahead of the answer to the one before.
_MAXIMUM_PIPELINED_REQUESTS = 4
_REQUEST_TIMEOUT_STATUS = 408
#: Time for the peer to take the last answer before the connection is dropped.
_LINGER_SECONDS = 1.0
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'

Handler = Callable[[Request, AnswerWriter], Awaitable[None]]


class ServerConnection:
    """One connection of a caller.

    Attributes:
        idle_since: Time of its begin or of the end of its last answer, in seconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: HttpLimits,
        *,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Takes over an accepted socket.

        Args:
            sock: The socket, which does not block.
            limits: Bounds on what the caller may send.
            is_stopping: Tells whether connections end after their current answer.
        """
        self._socket = trio.socket.from_stdlib_socket(sock)
        self._limits = limits
        self._writer = AnswerWriter(self._socket, sock, is_stopping=is_stopping)
        self._parser = RequestParser(limits, self._enqueue_request)
        self._requests: deque[Request] = deque()
        self._state_changed = trio.Event()
        self._is_handling = False
        self.idle_since = trio.current_time()
        self._read_scope = trio.CancelScope()
        self._read_deadline = self.idle_since + limits.idle_seconds
        self._is_reading_done = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (
            self._is_handling
            or self._requests
            or self._parser.is_in_head
            or self._parser.is_in_body
        )

    def close_if_idle(self) -> None:
        """Ends the connection if no request is being read or answered."""
        if self.is_idle:
            self._read_scope.cancel()

    async def serve(self, handler: Handler) -> None:
        """Answers the requests of the connection until it ends.

        Args:
            handler: Answers one request; cancelled when the caller leaves.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_requests, handler, nursery.cancel_scope)
                await self._read()
                if self._writer.is_broken:
                    nursery.cancel_scope.cancel()
        finally:
            self._socket.close()

    def _enqueue_request(self, request: Request) -> None:
        request.received_at = trio.current_time()
        self._requests.append(request)
        self._notify()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = trio.Event()

    def _set_read_deadline(self, seconds: float) -> None:
        self._read_deadline = trio.current_time() + seconds
        self._read_scope.deadline = self._read_deadline

    async def _read(self) -> None:
        while self._parser.violation is None:
            while len(self._requests) >= _MAXIMUM_PIPELINED_REQUESTS:
                await self._state_changed.wait()
            received = await self._receive()
            if received is None:
                break
            if not received:
                self._writer.abort()
                return
            was_in_head = self._parser.is_in_head
            self._parser.feed(received)
            self._extend_read_deadline(was_in_head=was_in_head)
            if self._parser.expects_continue and self._parser.is_in_body:
                self._parser.expects_continue = False
                await self._writer.send(_CONTINUE_RESPONSE)
        self._is_reading_done = True
        self._notify()

    async def _receive(self) -> bytes | None:
        """Receives bytes; None after a timeout, empty after the end of the connection."""
        self._read_scope = trio.CancelScope(deadline=self._read_deadline)
        with self._read_scope:
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
        elif self._is_handling or self._requests:
            self._set_read_deadline(float('inf'))

    async def _handle_requests(self, handler: Handler, scope: trio.CancelScope) -> None:
        try:
            while not self._writer.must_close and await self._has_next():
                await self._handle_next(handler)
            await self._end_connection()
        except OSError:
            self._writer.abort()
        scope.cancel()

    async def _has_next(self) -> bool:
        while not self._requests and not self._is_reading_done:
            await self._state_changed.wait()
        return bool(self._requests)

    async def _end_connection(self) -> None:
        violation = self._parser.violation
        if violation is not None and not self._writer.must_close:
            self._writer.must_close = True
            await self._writer.answer(violation.status, (), violation.reason.encode())
        if not self._writer.is_broken:
            await self._close_lingering()

    async def _handle_next(self, handler: Handler) -> None:
        request = self._requests.popleft()
        self._is_handling = True
        self._writer.must_close = not request.keeps_alive
        await handler(request, self._writer)
        self._is_handling = False
        if self.is_idle:
            self.idle_since = trio.current_time()
            self._set_read_deadline(self._limits.idle_seconds)
        self._notify()

    async def _close_lingering(self) -> None:
        """Lets the caller read the last answer: unread bytes would reset the connection."""
        self._socket.shutdown(socket.SHUT_WR)
        if self._parser.violation is None:
            return
        with trio.move_on_after(_LINGER_SECONDS):
            is_open = True
            while is_open:
                is_open = bool(await self._socket.recv(_RECEIVE_BYTES))
