"""Connection of an emulated caller, whose responses are read strictly."""

import contextlib
import socket

import attrs
import trio

from .strict_reader import StrictAnswer, StrictReader

_RECEIVE_BYTES = 65536
#: Receive buffer, segment size, size of a read and pause before it of a caller that reads slowly.
#: With the large segments of loopback, the kernel would take megabytes from the other side at once.
_SLOW_BUFFER_BYTES = 4096
_SLOW_SEGMENT_BYTES = 536
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
        paused_seconds: Time for which the caller has not read on purpose so far.
    """

    _socket: trio.socket.SocketType
    # The same socket as a standard socket, for reads that do not wait.
    _raw_socket: socket.socket
    is_slow: bool
    reader: StrictReader = attrs.field(factory=StrictReader)
    paused_seconds: float = 0.0

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        *,
        timeout_seconds: float,
        is_slow: bool = False,
        is_http10: bool = False,
    ) -> 'StrictConnection':
        """Connects to an instance.

        Args:
            host: IP address.
            port: TCP port.
            timeout_seconds: Connect timeout.
            is_slow: Whether the caller reads slowly.
            is_http10: Whether the caller speaks HTTP/1.0.

        Raises:
            OSError: The connection was refused.
            trio.TooSlowError: It took too long.
        """
        raw_socket = socket.socket()
        sock = trio.socket.from_stdlib_socket(raw_socket)
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SLOW_SEGMENT_BYTES)
        try:
            with trio.fail_after(timeout_seconds):
                await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, raw_socket, is_slow, StrictReader(is_http10=is_http10))

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

    async def send_when_told(self, body: bytes, *, timeout_seconds: float) -> None:
        """Sends the body of a request that waits to be told to continue, or has waited long enough.

        Raises:
            ConnectionEnded: The connection ended before that.
        """
        with trio.move_on_after(timeout_seconds):
            while self.reader.continues_before >= 0:
                await self.receive()
        await self.send(body)

    async def await_end(self, *, timeout_seconds: float) -> None:
        """Waits for the end of a connection whose last response was received, for some time.

        `reader.violation` tells whether bytes came before that.
        """
        with trio.move_on_after(timeout_seconds), contextlib.suppress(ConnectionEnded):
            await self.receive()

    async def read_answer(self, number: int) -> StrictAnswer:
        """Waits until a response is complete.

        Args:
            number: Number of the response on this connection, counted from zero.

        Raises:
            ConnectionEnded: The connection ended before that.
        """
        answers = self.reader.answers
        while len(answers) <= number or not answers[number].is_complete:
            try:
                await self.receive()
            except ConnectionEnded:
                # The end of the connection completes a body that states no length.
                is_complete = len(answers) > number and answers[number].is_complete
                if self.reader.violation or not is_complete:
                    raise
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
            started = trio.current_time()
            await trio.sleep(_SLOW_PAUSE_SECONDS)
            self.paused_seconds += trio.current_time() - started
        try:
            received = await self._socket.recv(
                _SLOW_RECEIVE_BYTES if self.is_slow else _RECEIVE_BYTES
            )
        except OSError as error:
            raise ConnectionEnded(repr(error)) from error
        self.reader.feed(received)
        if not received:
            self.reader.end()
        if not received or self.reader.violation:
            raise ConnectionEnded(self.reader.find_leftover())
