"""Writes the responses on a server connection."""

import socket
from collections.abc import Callable, Iterable

import trio

from .messages import encode_head, status_line

_LAST_CHUNK = b'0\r\n\r\n'


class ResponseWriter:
    """Writes the responses to the requests of one connection, in the order of the requests.

    Attributes:
        must_close: Whether the connection closes after the current response. The server
            connection sets it for each request; it is also set by `abort`, and by a response that
            starts while the server is stopping.
        is_broken: Whether the connection was aborted and is to be closed at once.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        raw_socket: socket.socket,
        *,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Wraps an accepted socket.

        Args:
            sock: The socket.
            raw_socket: The same socket as a standard socket, for non-blocking checks.
            is_stopping: Tells whether the server is stopping; a response that starts while it
                is says `Connection: close`, and the connection closes after it.
        """
        self.must_close = False
        self.is_broken = False
        self._socket = sock
        self._raw_socket = raw_socket
        self._is_stopping = is_stopping

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
            content: Response body.
        """
        framing = (b'Content-Length', b'%d' % len(content))
        await self.send(self._encode_head(status, fields, framing) + content)

    async def start(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        first_chunk: bytes,
    ) -> None:
        """Starts a chunked response by sending its head and first chunk.

        Args:
            status: Status code.
            fields: Header fields, without those that state the body length.
            first_chunk: First part of the body; may be empty.
        """
        head = self._encode_head(status, fields, (b'Transfer-Encoding', b'chunked'))
        await self.send(head + _encode_chunk(first_chunk))

    async def send_chunk(self, content: bytes) -> None:
        """Sends the next part of a chunked response body."""
        await self.send(_encode_chunk(content))

    async def end(self) -> None:
        """Ends a chunked response."""
        await self.send(_LAST_CHUNK)

    def abort(self) -> None:
        """Marks the connection to be closed without ending the current response.

        The caller then sees a truncated response and does not take it for a complete one.
        """
        self.must_close = True
        self.is_broken = True

    async def send(self, content: bytes) -> None:
        """Sends raw bytes."""
        view = memoryview(content)
        while view:
            view = view[await self._socket.send(view) :]

    def _encode_head(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        framing: tuple[bytes, bytes],
    ) -> bytes:
        """Encodes the head, with `Connection: close` if the connection closes afterwards."""
        lines = [*fields, framing]
        if self._is_stopping():
            self.must_close = True
        if self.must_close:
            lines.append((b'Connection', b'close'))
        return encode_head(status_line(status), lines)


def _encode_chunk(content: bytes) -> bytes:
    # A chunk of length zero would end the body.
    return b'%x\r\n%b\r\n' % (len(content), content) if content else b''
