"""Reads the input of a connection to a server, a bounded amount of work at a time."""

import socket

import trio

from .byte_budget import BLOCKING_STALL_SECONDS, HeldBytes
from .response_parser import ResponseParser

#: Sizes of one read. It grows while a body arrives in large parts, and is small otherwise: what one
#: read holds is parsed in one step of the event loop.
_LEAST_RECEIVE_BYTES = 4096
_MOST_RECEIVE_BYTES = 65536
#: Bytes that a field, an interim response or a part of a body has at least, in input that is no
#: more work than its size; what a small response may have beside that.
_BYTES_PER_UNIT = 64
_SMALL_INPUT_BYTES = 1024
#: Maximum bytes received without a complete response head or body data, with what their fields and
#: interim responses cost. It bounds the size of a head and stops a server that sends chunk framing
#: or interim responses without end.
_MAXIMUM_BYTES_WITHOUT_PROGRESS = 131072


class ConnectionBroken(Exception):
    """A connection failed, or its input was invalid, before the response was complete."""


class ResponseTooLarge(ConnectionBroken):
    """A server sent more than a response may have, without completing one.

    Attributes:
        shape: What it sent.
        size: Bytes that were received or stated, about.
    """

    def __init__(self, shape: str, size: int) -> None:
        """Describes the excess.

        Args:
            shape: What the server sent, such as `head` or `body`.
            size: Bytes that were received or stated, about.
        """
        super().__init__('{0} of {1} bytes'.format(shape, size))
        self.shape = shape
        self.size = size


class ResponseReader:
    """Input of one connection, which it feeds to the parser of its responses.

    What the responses hold is counted in the account of the reader's present request.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        raw_socket: socket.socket,
        parser: ResponseParser,
        held: HeldBytes,
    ) -> None:
        """Creates a reader.

        Args:
            sock: The connection.
            raw_socket: The same connection as a standard socket.
            parser: Parses the responses.
            held: Account of what is held of the responses.
        """
        self._socket = sock
        self._raw_socket = raw_socket
        self._parser = parser
        self._bytes_without_progress = 0
        self._receive_bytes = _LEAST_RECEIVE_BYTES
        # Whether the last input was many small units.
        self._is_input_dense = False
        self._held = held
        # Bytes of the present response that whoever reads it keeps.
        self._kept_bytes = 0

    def hold(self, held: HeldBytes) -> None:
        """Counts what the responses hold in another account from now on.

        Args:
            held: The account; whoever opened it closes it.
        """
        self._held = held
        self._kept_bytes = 0

    def keep(self, size: int) -> None:
        """Records how many bytes of the present response its reader keeps."""
        self._kept_bytes = size
        self._held.resize(size + self._parser.held_bytes)

    async def receive(self) -> None:
        """Receives some input and parses it, once there is room for it.

        Raises:
            ConnectionBroken: The connection failed, or ended before the response was complete.
            ResponseTooLarge: The server sends more than a response may have.
        """
        if self._parser.is_malformed or self._parser.is_ended:
            raise ConnectionBroken('the server sent bytes that are no answer to the request')
        await self._held.wait_for_room()
        if self._held.blocks_others:
            await self._receive_soon()
        else:
            await self._receive_some()
        self._held.resize(self._kept_bytes + self._parser.held_bytes)

    async def _receive_soon(self) -> None:
        """Receives input, or gives up if none comes while others wait for the memory.

        Raises:
            ResponseTooLarge: No input came for a while.
        """
        with trio.move_on_after(BLOCKING_STALL_SECONDS):
            await self._receive_some()
            return
        raise ResponseTooLarge('a pause behind a part of a response', self._held.size)

    async def _receive_some(self) -> None:
        try:
            if self._is_input_dense:
                # Each turn of the event loop parses such input of one connection only.
                await trio.lowlevel.wait_readable(self._raw_socket)
                async with self._held.dense_turn:
                    self._process(await self._socket.recv(_LEAST_RECEIVE_BYTES))
            else:
                self._process(await self._socket.recv(self._receive_bytes))
        except (OSError, trio.ClosedResourceError) as error:
            raise ConnectionBroken(repr(error)) from error

    def _process(self, received: bytes) -> None:
        """Parses input, or the end of it."""
        if received:
            self._feed_parser(received)
            return
        self._parser.feed_eof()
        responses = self._parser.responses
        if not responses or not responses[-1].is_complete:
            raise ConnectionBroken('the server closed the connection')

    def _feed_parser(self, received: bytes) -> None:
        parser = self._parser
        progress, units = parser.progress, parser.units
        parser.feed(received)
        self._adapt_reading(len(received), parser.units - units)
        if parser.progress > progress:
            self._bytes_without_progress = 0
            parser.overhead_bytes = 0
            return
        self._bytes_without_progress += len(received)
        size = self._bytes_without_progress + parser.overhead_bytes
        if size > _MAXIMUM_BYTES_WITHOUT_PROGRESS:
            raise ResponseTooLarge('framing' if parser.responses else 'a head', size)

    def _adapt_reading(self, size: int, units: int) -> None:
        """Chooses how much is read next, from how much work the last input was."""
        self._is_input_dense = units * _BYTES_PER_UNIT > size + _SMALL_INPUT_BYTES
        if self._is_input_dense or size < self._receive_bytes:
            self._receive_bytes = _LEAST_RECEIVE_BYTES
        elif self._receive_bytes < _MOST_RECEIVE_BYTES:
            self._receive_bytes *= 2
