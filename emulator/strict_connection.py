"""Connection of an emulated caller, whose responses are read strictly."""

import socket

import attrs
import trio

from .strict_reader import StrictAnswer, StrictReader

_RECEIVE_BYTES = 65536
#: Receive buffer, size of a read and pause before it of a caller that reads slowly.
_SLOW_BUFFER_BYTES = 4096
_SLOW_RECEIVE_BYTES = 2048
_SLOW_PAUSE_SECONDS = 0.002


class ConnectionEnded(Exception):
    """The connection ended, or carried bytes of no response, before a response was complete."""


@attrs.define(eq=False)
class StrictConnection:
    """An open connection to an instance.

    Attributes:
        reader: What was received so far.
        is_slow: Whether the caller reads slowly.
    """

    _socket: trio.socket.SocketType
    # The same socket as a standard socket, for reads that do not wait.
    _raw_socket: socket.socket
    is_slow: bool
    reader: StrictReader = attrs.field(factory=StrictReader)

    @classmethod
    async def open(
        cls, host: str, port: int, *, timeout_seconds: float, is_slow: bool = False
    ) -> 'StrictConnection':
        """Connects to an instance.

        Args:
            host: IP address.
            port: TCP port.
            timeout_seconds: Connect timeout.
            is_slow: Whether the caller reads slowly.

        Raises:
            OSError: The connection was refused.
            trio.TooSlowError: It took too long.
        """
        raw_socket = socket.socket()
        sock = trio.socket.from_stdlib_socket(raw_socket)
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
        try:
            with trio.fail_after(timeout_seconds):
                await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, raw_socket, is_slow)

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    async def send(self, content: bytes) -> None:
        """Sends bytes of requests.

        Raises:
            ConnectionEnded: Sending failed.
        """
        view = memoryview(content)
        try:
            while view:
                view = view[await self._socket.send(view) :]
        except OSError as error:
            raise ConnectionEnded(repr(error)) from error

    async def read_answer(self, number: int) -> StrictAnswer:
        """Waits until a response is complete.

        Args:
            number: Number of the response on this connection, counted from zero.

        Raises:
            ConnectionEnded: The connection ended before that.
        """
        answers = self.reader.answers
        while len(answers) <= number or not answers[number].is_complete:
            await self.receive()
        return answers[number]

    def receive_unrequested(self) -> bool:
        """Reads what has arrived although no request waits; returns whether nothing has."""
        try:
            received = self._raw_socket.recv(_RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.reader.feed(received)
        return False

    async def receive(self) -> None:
        """Waits for more bytes, and reads them.

        Raises:
            ConnectionEnded: The connection has ended, or carried bytes of no response.
        """
        if self.is_slow:
            await trio.sleep(_SLOW_PAUSE_SECONDS)
        try:
            received = await self._socket.recv(
                _SLOW_RECEIVE_BYTES if self.is_slow else _RECEIVE_BYTES
            )
        except OSError as error:
            raise ConnectionEnded(repr(error)) from error
        self.reader.feed(received)
        if not received or self.reader.violation:
            raise ConnectionEnded(self.reader.find_leftover())
