"""Writes the responses on a server connection, one for each request.

The writer knows how much of the current response was sent. A write that does not fit raises
`ResponseStateError` and sends nothing, so that no mistake of a handler puts bytes on the connection
that the caller would take for a part of another response. A write after the response was cut raises
`ConnectionAbortedError`, as if the connection had failed.
"""

import contextlib
import socket
import struct
from collections.abc import Callable, Iterable

import trio

from .byte_budget import ByteBudget
from .messages import BODYLESS_STATUSES, encode_chunk, encode_head, status_line
from .response_phase import ResponsePhase, ResponseStateError

_LAST_CHUNK = b'0\r\n\r\n'
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_METHOD = b'HEAD'
#: Time in which a caller has to read some of what was sent, before its connection is closed.
_STALL_SECONDS = 15.0
#: Largest body that is sent together with its head.
_JOINED_BYTES = 65536
#: What the budget knows responses by that their callers read slowly.
_SLOW_READERS = 'slow readers'
#: Values of the socket option for linger: a close resets the connection at once, or ends it in the
#: usual way.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_ON_CLOSE = struct.pack('ii', 0, 0)


class ResponseWriter:
    """Writes the responses to the requests of one connection, in the order of the requests.

    Attributes:
        must_close: Whether the connection closes after the current response. It is set for a
            request that does not keep the connection alive, by `abort`, and by a response that
            starts while the server is stopping.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        raw_socket: socket.socket,
        *,
        is_stopping: Callable[[], bool],
        stall_seconds: float = _STALL_SECONDS,
        byte_budget: ByteBudget | None = None,
    ) -> None:
        """Wraps an accepted socket.

        Args:
            sock: The socket.
            raw_socket: The same socket as a standard socket, in non-blocking mode.
            is_stopping: Tells whether the server is stopping; a response that starts while it
                is says `Connection: close`, and the connection closes after it.
            stall_seconds: Time after which a write is given up if the caller reads nothing.
            byte_budget: Bounds what is kept of responses that are read slowly; None for no bound.
        """
        self.must_close = False
        self._socket = sock
        self._raw_socket = raw_socket
        self._is_stopping = is_stopping
        self._stall_seconds = stall_seconds
        self._byte_budget = byte_budget or ByteBudget()
        self._phase = ResponsePhase.complete
        self._may_have_body = True
        self._accepts_chunks = True

    @property
    def has_begun(self) -> bool:
        """Whether any of the current response was sent, so that no other one can take its place."""
        return self._phase is not ResponsePhase.pending

    @property
    def is_complete(self) -> bool:
        """Whether the current response was sent to its end."""
        return self._phase is ResponsePhase.complete

    @property
    def is_broken(self) -> bool:
        """Whether the connection is to be closed at once, within the current response."""
        return self._phase is ResponsePhase.broken

    def begin(self, *, method: bytes, keeps_alive: bool, accepts_chunks: bool = True) -> None:
        """Prepares for the response to the next request, unless the connection is broken.

        Args:
            method: HTTP method of the request.
            keeps_alive: Whether the connection stays open after the response.
            accepts_chunks: Whether the caller knows the chunked transfer coding. For one that does
                not, a body of unknown length ends with the connection.
        """
        if self.is_broken:
            return
        self._phase = ResponsePhase.pending
        self._may_have_body = method != _HEAD_METHOD
        self._accepts_chunks = accepts_chunks
        self.must_close = not keeps_alive

    def has_caller_disconnected(self) -> bool:
        """Tells whether the caller has closed the connection, by asking the kernel directly.

        The task that reads the connection learns of a disconnect only in the next run of the
        scheduler. A request could be forwarded before that for a caller that is gone.
        """
        try:
            return not self._raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def send_continue(self) -> None:
        """Tells the caller to send the body of its next request, if no response is under way."""
        if self.is_complete:
            await self._send(_CONTINUE_RESPONSE, ResponsePhase.complete)

    async def answer(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        content: bytes,
    ) -> None:
        """Sends a complete response.

        Args:
            status: Status code.
            fields: Header fields, without those that state the body length.
            content: Response body; not sent if the method or status allows none.

        Raises:
            ResponseStateError: A response was sent already, or has begun.
            OSError: The connection failed, or the response was cut.
        """
        self._require(ResponsePhase.pending)
        if not self._accepts_chunks:
            # A response whose start was cancelled before its first byte may have set the opposite.
            self._set_linger(_END_ON_CLOSE)
        framing = (b'Content-Length', b'%d' % len(content))
        head = self._encode_head(status, fields, framing)
        body = self._select_body(content)
        if len(body) > _JOINED_BYTES:
            # Joined, it would be a copy that is kept for as long as the caller reads.
            await self._send(head, ResponsePhase.body)
            head = b''
        await self._send(head + body, ResponsePhase.complete)

    async def start(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        first_part: bytes,
    ) -> None:
        """Starts a response of unknown length by sending its head and the first part of its body.

        Args:
            status: Status code.
            fields: Header fields, without those that state the body length.
            first_part: First part of the body; may be empty.

        Raises:
            ResponseStateError: A response was sent already, or has begun.
            OSError: The connection failed, or the response was cut.
        """
        self._require(ResponsePhase.pending)
        if not self._accepts_chunks:
            self.must_close = True
            # The body ends with the connection. Until it is complete, whatever closes the
            # connection, even the end of the process, must not look like its end.
            self._set_linger(_RESET_ON_CLOSE)
        framing = (b'Transfer-Encoding', b'chunked') if self._accepts_chunks else None
        head = self._encode_head(status, fields, framing)
        await self._send(head + self._encode_part(first_part), ResponsePhase.body)

    async def send_chunk(self, content: bytes) -> None:
        """Sends the next part of the body of a response that was started.

        Args:
            content: The part; may be empty.

        Raises:
            ResponseStateError: No response was started, or it has ended.
            OSError: The connection failed, or the response was cut.
        """
        self._require(ResponsePhase.body)
        await self._send(self._encode_part(content), ResponsePhase.body)

    async def end(self) -> None:
        """Ends a response that was started.

        Raises:
            ResponseStateError: No response was started, or it has ended.
            OSError: The connection failed, or the response was cut.
        """
        self._require(ResponsePhase.body)
        last_part = _LAST_CHUNK if self._accepts_chunks else b''
        await self._send(self._select_body(last_part), ResponsePhase.complete)
        if not self._accepts_chunks:
            self._set_linger(_END_ON_CLOSE)

    def abort(self) -> None:
        """Marks the connection to be closed without ending the current response.

        The caller then sees a truncated response and does not take it for a complete one. A body
        that ends with the connection is told to be truncated by a reset.
        """
        self.must_close = True
        self._phase = ResponsePhase.broken

    def _require(self, phase: ResponsePhase) -> None:
        if self.is_broken:
            # The caller may have left a moment ago; that is no mistake of the one who writes.
            raise ConnectionAbortedError('the response was cut')
        if self._phase is not phase:
            raise ResponseStateError(
                'the response is {0}, not {1}'.format(self._phase.value, phase.value)
            )

    async def _send(self, content: bytes, next_phase: ResponsePhase) -> None:
        """Sends bytes, and enters the next phase once all of them are sent.

        If it is cancelled or fails before the first byte, the phase stays as it is. After that, and
        if the caller reads nothing for too long, the response is broken, since whatever follows
        would continue the part that was sent.
        """
        view = memoryview(content)
        try:
            if view:
                view = view[await self._send_some(view) :]
            if view:
                await self._send_rest(view, size=len(content))
                view = view[:0]
        finally:
            if not view:
                self._phase = next_phase
            elif len(view) < len(content):
                self.abort()

    async def _send_rest(self, view: memoryview, *, size: int) -> None:
        """Sends what the connection didn't take at once, of a message of a size in bytes."""
        with trio.CancelScope() as scope:
            held = self._byte_budget.open(_SLOW_READERS, scope.cancel)
            try:
                held.resize(size)
                while view:
                    view = view[await self._send_some(view) :]
            finally:
                held.close()
        if held.is_given_up and view:
            self.abort()
            raise ConnectionAbortedError('too much is kept for callers that read slowly')

    async def _send_some(self, content: memoryview) -> int:
        """Sends as many bytes as the connection takes, and returns their number."""
        await trio.lowlevel.checkpoint()
        with contextlib.suppress(BlockingIOError):
            return self._raw_socket.send(content)
        with trio.move_on_after(self._stall_seconds):
            return await self._socket.send(content)
        self.abort()
        raise ConnectionAbortedError('the caller reads nothing')

    def _set_linger(self, linger: bytes) -> None:
        self._raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _encode_part(self, content: bytes) -> bytes:
        """Encodes a part of a body of unknown length."""
        encoded = encode_chunk(content) if self._accepts_chunks else content
        return self._select_body(encoded)

    def _select_body(self, encoded: bytes) -> bytes:
        return encoded if self._may_have_body else b''

    def _encode_head(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        framing: tuple[bytes, bytes] | None,
    ) -> bytes:
        """Encodes the head, with `Connection: close` if the connection closes afterwards."""
        lines = list(fields)
        if status in BODYLESS_STATUSES:
            self._may_have_body = False
        elif framing is not None:
            lines.append(framing)
        if self._is_stopping():
            self.must_close = True
        if self.must_close:
            lines.append((b'Connection', b'close'))
        return encode_head(status_line(status), lines)
