"""One connection to a server, and the exchange of one request and its answer at a time."""

import errno
import socket

import attrs
import trio

from .messages import Fields, encode_head
from .response_parser import Answer, ResponseParser

_RECEIVE_BYTES = 65536
#: A peer that acknowledges nothing for this long is taken for unreachable.
_USER_TIMEOUT_MILLISECONDS = 2000
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
#: Bytes that may come without a new head or more of a body: a head, or the framing of a body.
_MAXIMUM_FRAMING_BYTES = 131072
_RESOURCE_EXHAUSTED_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class ConnectFailed(Exception):
    """A connection could not be established, so nothing was sent on it.

    Attributes:
        is_local: Whether this process had no descriptor or memory for it.
    """

    def __init__(self, error: Exception) -> None:
        """Keeps the reason.

        Args:
            error: What the attempt to connect raised.
        """
        super().__init__(repr(error))
        self.is_local = isinstance(error, OSError) and error.errno in _RESOURCE_EXHAUSTED_ERRNOS


class ConnectionBroken(Exception):
    """A connection ended, or carried bytes that are no answer, before the answer was whole."""


@attrs.define(eq=False)
class ClientConnection:
    """One connection to a server.

    Attributes:
        idle_until: Time until which the server keeps the connection without a request, in
            seconds of trio's clock.
    """

    _socket: trio.socket.SocketType
    _raw_socket: socket.socket
    _parser: ResponseParser = attrs.field(factory=ResponseParser)
    _framing_bytes: int = 0
    idle_until: float = float('inf')

    @classmethod
    async def open(cls, host: str, port: int, *, timeout_seconds: float) -> 'ClientConnection':
        """Connects to a server.

        Args:
            host: IP address.
            port: TCP port.
            timeout_seconds: Longest wait.

        Returns:
            The connection.

        Raises:
            ConnectFailed: The server did not accept the connection in time.
        """
        try:
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectFailed(error) from error
        sock = trio.socket.from_stdlib_socket(raw)
        try:
            _set_options(raw)
            with trio.fail_after(timeout_seconds):
                await sock.connect((host, port))
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            raise ConnectFailed(error) from error
        except BaseException:
            sock.close()
            raise
        return cls(sock, raw)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open, quiet, and past a whole answer."""
        if self._parser.is_malformed or self._parser.answers or not self._parser.keeps_alive:
            return False
        try:
            self._raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Bytes or the end: neither belongs to a request.
        return False

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    async def send(self, start_line: bytes, fields: Fields, content: bytes) -> None:
        """Sends a request.

        Args:
            start_line: Request line without its end.
            fields: Field lines, framing included.
            content: The body.

        Raises:
            ConnectionBroken: The connection ended; the server can have read the request.
        """
        view = memoryview(encode_head(start_line, fields) + content)
        try:
            while view:
                view = view[await self._socket.send(view) :]
        except OSError as error:
            raise ConnectionBroken(repr(error)) from error

    async def next_answer(self) -> Answer:
        """Waits for the head of the next answer.

        Returns:
            The answer; its body comes with `next_piece`.

        Raises:
            ConnectionBroken: The connection ended before.
        """
        answers = self._parser.answers
        while not answers:
            await self._receive()
        return answers[0]

    async def next_piece(self, answer: Answer) -> bytes:
        """Waits for the next part of an answer's body.

        Args:
            answer: The answer that `next_answer` returned.

        Returns:
            The part; empty after the last one.

        Raises:
            ConnectionBroken: The connection ended before the answer did.
        """
        while not answer.unread_parts and not answer.is_whole:
            await self._receive()
        if answer.unread_parts:
            part = b''.join(answer.unread_parts)
            answer.unread_parts.clear()
            return part
        return b''

    def drop(self, answer: Answer) -> None:
        """Takes a whole answer off the connection, so that the next one can be read."""
        self._parser.answers.remove(answer)

    async def read_whole(self, answer: Answer, maximum_bytes: int) -> bytes:
        """Reads the body of an answer to its end.

        Args:
            answer: The answer that `next_answer` returned.
            maximum_bytes: Largest body.

        Returns:
            The body.

        Raises:
            ConnectionBroken: The connection ended before, or the body is too large.
        """
        parts: list[bytes] = []
        size = 0
        if (answer.head.content_length or 0) > maximum_bytes:
            raise ConnectionBroken('the answer is too large')
        while True:
            part = await self.next_piece(answer)
            if not part:
                return b''.join(parts)
            size += len(part)
            if size > maximum_bytes:
                raise ConnectionBroken('the answer is too large')
            parts.append(part)

    async def _receive(self) -> None:
        if self._parser.is_malformed:
            raise ConnectionBroken('the server sent bytes that are no answer')
        try:
            received = await self._socket.recv(_RECEIVE_BYTES)
        except OSError as error:
            raise ConnectionBroken(repr(error)) from error
        if received:
            self._feed_parser(received)
            return
        self._parser.feed_eof()
        answers = self._parser.answers
        if not answers or not answers[-1].is_whole:
            raise ConnectionBroken('the server closed the connection')

    def _feed_parser(self, received: bytes) -> None:
        progress = self._parser.progress
        self._parser.feed(received)
        if self._parser.progress > progress:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(received)
        if self._framing_bytes > _MAXIMUM_FRAMING_BYTES:
            raise ConnectionBroken('the server sent bytes that are no answer, without an end')


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
