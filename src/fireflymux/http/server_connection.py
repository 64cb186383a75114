"""Server side of an HTTP/1.1 connection from a caller.

One task reads and parses requests while another handles them in order. Reading goes on while a
request is handled, so that a disconnect of the caller cancels the handler. A disconnect is not
seen while reading pauses, because many requests are queued, or after it has ended, because of
invalid input or a timeout.
"""

import socket
from collections import deque
from collections.abc import Awaitable, Callable

import trio

from .byte_budget import BLOCKING_STALL_SECONDS, ByteBudget
from .messages import HttpLimits, Request
from .request_parser import RequestParser, Violation
from .response_writer import ResponseWriter

_RECEIVE_BYTES = 65536
#: Reading pauses while this many or more parsed requests wait for the current one. More can wait,
#: as one read can contain several requests.
_MAXIMUM_PIPELINED_REQUESTS = 4
_REQUEST_TIMEOUT_STATUS = 408
_UNAVAILABLE_STATUS = 503
_RETRY_FIELDS = ((b'Retry-After', b'1'),)
#: What the budget knows callers by, as one source.
_CALLERS = 'callers'
#: Maximum time to drain input of the caller after the last response.
_LINGER_SECONDS = 1.0

#: Handles one request and writes its response.
Handler = Callable[[Request, ResponseWriter], Awaitable[None]]


class ServerConnection:
    """An accepted connection.

    Attributes:
        idle_since: Time at which the connection was accepted or last became idle, in seconds of
            trio's clock.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: HttpLimits,
        *,
        is_stopping: Callable[[], bool],
        byte_budget: ByteBudget | None = None,
    ) -> None:
        """Takes ownership of an accepted socket.

        Args:
            sock: The socket, in non-blocking mode.
            limits: Size limits and timeouts for requests.
            is_stopping: Tells whether the server is stopping; each response then closes its
                connection.
            byte_budget: Bounds what is kept of requests, and of responses that the caller reads
                slowly; None for no bound.
        """
        self._socket = trio.socket.from_stdlib_socket(sock)
        self._limits = limits
        self._byte_budget = byte_budget or ByteBudget()
        self._incoming = self._byte_budget.open(_CALLERS, self._give_up_incoming)
        self._kept = self._byte_budget.open(_CALLERS)
        self._writer = ResponseWriter(
            self._socket, sock, is_stopping=is_stopping, byte_budget=self._byte_budget
        )
        self._parser = RequestParser(limits, self._enqueue_request)
        self._requests: deque[Request] = deque()
        # Set when a request was queued or handled, or when reading ended.
        self._state_changed = trio.Event()
        self._is_handling = False
        self.idle_since = trio.current_time()
        self._read_scope = trio.CancelScope()
        self._read_deadline = self.idle_since + limits.idle_seconds
        self._is_reading_done = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return not (
            self._is_handling
            or self._requests
            or self._parser.is_in_head
            or self._parser.is_in_body
        )

    def stop_reading_if_idle(self) -> None:
        """Ends reading if the connection is idle; `serve` then closes it."""
        if self.is_idle:
            self._read_scope.cancel()

    async def serve(self, handler: Handler) -> None:
        """Serves requests until the connection closes.

        Args:
            handler: Called for each request in order; cancelled if the caller disconnects.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_requests, handler, nursery.cancel_scope)
                await self._read()
                if self._writer.is_broken:
                    nursery.cancel_scope.cancel()
        finally:
            self._socket.close()
            self._parser.close()
            self._incoming.close()
            self._kept.close()

    def _enqueue_request(self, request: Request) -> None:
        if self._parser.violation is not None:
            # It follows one that is refused, behind which the connection closes.
            return
        request.received_at = trio.current_time()
        self._incoming.resize(0)
        self._kept.resize(self._kept.size + request.memory_bytes)
        if self._byte_budget.is_exceeded:
            self._kept.resize(self._kept.size - request.memory_bytes)
            self._give_up_incoming()
            return
        self._requests.append(request)
        self._notify()

    def _give_up_incoming(self) -> None:
        """Refuses the request that is being received, since too much is kept in all."""
        self._parser.violation = Violation(_UNAVAILABLE_STATUS, 'too many bytes are kept')
        self._read_scope.cancel()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = trio.Event()

    def _set_read_deadline(self, seconds: float) -> None:
        self._read_deadline = trio.current_time() + seconds
        self._read_scope.deadline = self._read_deadline

    async def _read(self) -> None:
        while self._parser.violation is None:
            await self._wait_for_room()
            received = await self._receive()
            if received is None:
                break
            if not received or not await self._process(received):
                # The caller disconnected; a half-closed connection counts as closed, too.
                self._writer.abort()
                return
        self._is_reading_done = True
        self._notify()

    async def _wait_for_room(self) -> None:
        """Waits while many requests are queued; that time does not count for the caller's next."""
        paused_at = trio.current_time()
        while len(self._requests) >= _MAXIMUM_PIPELINED_REQUESTS:
            await self._state_changed.wait()
        await self._incoming.wait_for_room()
        self._read_deadline += trio.current_time() - paused_at

    async def _process(self, received: bytes) -> bool:
        """Parses input; returns False if the connection failed."""
        begun_before = self._parser.requests_begun
        self._parser.feed(received)
        self._incoming.resize(self._parser.held_bytes)
        self._extend_read_deadline(is_new=self._parser.requests_begun > begun_before)
        if self._is_handling or self._requests:
            # The caller is told to go on after the responses to its earlier requests.
            return True
        try:
            await self._send_due_continue()
        except OSError:
            return False
        return True

    async def _send_due_continue(self) -> None:
        """Tells a caller that waits for it to send the body of its request.

        Called only between responses, as the bytes would fall into one otherwise.
        """
        parser = self._parser
        if parser.expects_continue and parser.is_in_body and parser.violation is None:
            parser.expects_continue = False
            await self._writer.send_continue()
            self._set_read_deadline(self._limits.idle_seconds)

    async def _receive(self) -> bytes | None:
        """Receives bytes; None if cancelled or timed out, empty if the connection closed."""
        if self._incoming.is_given_up:
            return None
        self._read_scope = trio.CancelScope(deadline=self._read_deadline)
        if self._incoming.blocks_others:
            stall_deadline = trio.current_time() + BLOCKING_STALL_SECONDS
            self._read_scope.deadline = min(self._read_deadline, stall_deadline)
        with self._read_scope:
            try:
                return await self._socket.recv(_RECEIVE_BYTES)
            except OSError:
                return b''
        if self._parser.violation is None and (self._parser.is_in_head or self._parser.is_in_body):
            self._parser.violation = Violation(_REQUEST_TIMEOUT_STATUS, 'the request is too slow')
        return None

    def _extend_read_deadline(self, *, is_new: bool) -> None:
        """Sets, removes or leaves the deadline of the next input, after input was parsed.

        - Within a head: set to the timeout of the head if it began in this input, otherwise left.
          Further bytes thus do not extend the timeout, so that a caller
          cannot hold a connection by sending the head slowly.
        - Within a body that the caller is to be told to send, after the responses to its earlier
          requests: removed. `_send_due_continue` sets the idle timeout.
        - Within another body: set to the idle timeout.
        - Otherwise, while a request is handled or queued: removed. `_handle_next` sets the idle
          timeout once the connection is idle.
        - Otherwise left, as no request has begun.
        """
        if self._parser.is_in_head:
            if is_new:
                self._set_read_deadline(self._limits.header_seconds)
            return
        is_busy = self._is_handling or bool(self._requests)
        if self._parser.is_in_body and not (is_busy and self._parser.expects_continue):
            self._set_read_deadline(self._limits.idle_seconds)
        elif is_busy:
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
        """Sends the error response to invalid or slow input, if any, and shuts down sending.

        No error response is sent if the writer already must close the connection, and neither is
        done after an abort. `serve` closes the socket.
        """
        violation = self._parser.violation
        if violation is not None and not self._writer.must_close:
            self._writer.begin(method=self._parser.method, keeps_alive=False)
            fields = _RETRY_FIELDS if violation.status == _UNAVAILABLE_STATUS else ()
            await self._writer.answer(violation.status, fields, violation.reason.encode())
        if not self._writer.is_broken:
            await self._close_lingering()

    async def _handle_next(self, handler: Handler) -> None:
        request = self._requests.popleft()
        self._is_handling = True
        self._writer.begin(
            method=request.method,
            keeps_alive=request.keeps_alive,
            accepts_chunks=request.accepts_chunks,
        )
        await handler(request, self._writer)
        self._kept.resize(self._kept.size - request.memory_bytes)
        if not self._writer.is_complete:
            # The response to the next request would continue the one that is not complete.
            self._writer.abort()
        if not (self._requests or self._writer.must_close):
            await self._send_due_continue()
        self._is_handling = False
        if self.is_idle:
            self.idle_since = trio.current_time()
            self._set_read_deadline(self._limits.idle_seconds)
        self._notify()

    async def _close_lingering(self) -> None:
        """Shuts down sending and drains further input until the caller closes, or for a while.

        Closing the socket with unread input, or input that arrives later, would reset the
        connection, and the caller could lose what it has not read of the last response.
        """
        self._socket.shutdown(socket.SHUT_WR)
        with trio.move_on_after(_LINGER_SECONDS):
            while not self._is_reading_done:
                self._requests.clear()
                self._notify()
                await self._state_changed.wait()
            is_open = self._parser.violation is not None
            while is_open:
                is_open = bool(await self._socket.recv(_RECEIVE_BYTES))
