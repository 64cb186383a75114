"""Writes the answers of one caller's connection."""

import socket
from collections.abc import Callable, Iterable

import trio

from .messages import encode_head, status_line

_LAST_CHUNK = b'0\r\n\r\n'


class AnswerWriter:
    """Answers to the requests of one connection, one after the other.

    Attributes:
        must_close: Whether the connection ends after the current answer.
        is_broken: Whether the connection was broken off within an answer.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        raw_socket: socket.socket,
        *,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Writes to an accepted socket.

        Args:
            sock: The socket.
            raw_socket: The same socket, for questions that don't wait.
            is_stopping: Tells whether connections end after their current answer.
        """
        self.must_close = False
        self.is_broken = False
        self._socket = sock
        self._raw_socket = raw_socket
        self._is_stopping = is_stopping

    def has_caller_left(self) -> bool:
        """Tells whether the caller has closed its connection, as far as the kernel knows.

        The task that reads the connection learns it a turn later, which can be too late for
        a request that is about to be sent on.
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
        """Sends a whole answer.

        Args:
            status: Status code.
            fields: Field lines without the framing of the body.
            content: The body.
        """
        framing = (b'Content-Length', b'%d' % len(content))
        await self.send(self._encode_head(status, fields, framing) + content)

    async def start(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        first_chunk: bytes,
    ) -> None:
        """Sends the head of an answer that comes in chunks, and its first chunk.

        Args:
            status: Status code.
            fields: Field lines without the framing of the body.
            first_chunk: First part of the body; may be empty.
        """
        head = self._encode_head(status, fields, (b'Transfer-Encoding', b'chunked'))
        await self.send(head + _encode_chunk(first_chunk))

    async def send_chunk(self, content: bytes) -> None:
        """Sends a part of the body."""
        await self.send(_encode_chunk(content))

    async def end(self) -> None:
        """Sends the end of an answer that came in chunks."""
        await self.send(_LAST_CHUNK)

    def abort(self) -> None:
        """Breaks the connection off, so that an answer begun does not look whole."""
        self.must_close = True
        self.is_broken = True

    async def send(self, content: bytes) -> None:
        """Sends bytes as they are."""
        view = memoryview(content)
        while view:
            view = view[await self._socket.send(view) :]

    def _encode_head(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        framing: tuple[bytes, bytes],
    ) -> bytes:
        lines = [*fields, framing]
        if self._is_stopping():
            self.must_close = True
        if self.must_close:
            lines.append((b'Connection', b'close'))
        return encode_head(status_line(status), lines)


def _encode_chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content) if content else b''
