"""Client side of an HTTP/1.1 connection, carrying one request and response at a time.

A server can nevertheless send several responses, and one read can return bytes of more than one.
The parser therefore has a queue of responses; a connection with a response left in it, or with a
part of one, is not reused.

An earlier response can also be sent again after the connection was reused. Only an identifier that
the server repeats tells it from the response to the present request. A connection therefore
remembers the identifiers of its requests, and carries none whose response could be mistaken.
"""

import errno
import socket
from array import array
from collections.abc import Callable

import attrs
import trio

from .byte_budget import ByteBudget, HeldBytes
from .messages import HeaderFields, encode_head
from .response_parser import IncomingResponse, ResponseParser
from .response_reader import ConnectionBroken, ResponseReader, ResponseTooLarge

#: The kernel aborts a connection on which sent data stays unacknowledged for this long.
_TCP_USER_TIMEOUT_MILLISECONDS = 2000
_TCP_KEEPALIVE_SECONDS = 1
_TCP_KEEPALIVE_PROBES = 2
#: What a part of a body counts for beside its bytes, against the largest body without a length.
_PART_COST_BYTES = 64
#: Maximum number of requests with an identifier on one connection. It bounds the memory for the
#: identifiers, and is large enough that a new connection for each of so many is no burden.
_MAXIMUM_IDENTIFIERS = 256
_RESOURCE_EXHAUSTED_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class ConnectFailed(Exception):
    """A connection could not be established, so no request was sent.

    Attributes:
        is_local: Whether the cause is local: this process had no file descriptor or memory
            left, which says nothing about the server.
    """

    def __init__(self, error: Exception) -> None:
        """Wraps the error of a connection attempt.

        Args:
            error: Exception raised by the attempt.
        """
        super().__init__(repr(error))
        self.is_local = isinstance(error, OSError) and error.errno in _RESOURCE_EXHAUSTED_ERRNOS


@attrs.define(eq=False)
class ClientConnection:
    """An open connection to a server.

    Attributes:
        idle_until: Time from which the idle connection is not reused, in seconds of trio's clock;
            set by the connection pool. Nothing closes the connection at that time; the pool does
            when it next looks at it.
    """

    _socket: trio.socket.SocketType
    # The same socket as a standard socket, for non-blocking checks.
    _raw_socket: socket.socket
    _parser: ResponseParser = attrs.field(factory=ResponseParser)
    _byte_budget: ByteBudget = attrs.field(factory=ByteBudget)
    # What the budget knows the server by.
    _source: str = ''
    _reader: ResponseReader = attrs.field(init=False)
    # Hashes of the identifiers of all requests so far; a caller's identifier can be long. Two that
    # share a hash only cost a new connection. An array takes an eighth of the memory of a set.
    _identifier_hashes: 'array[int]' = attrs.field(factory=lambda: array('q'))
    idle_until: float = float('inf')

    def __attrs_post_init__(self) -> None:
        """Creates the reader of the responses."""
        held = self._byte_budget.open(self._source)
        self._reader = ResponseReader(self._socket, self._raw_socket, self._parser, held)

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        *,
        timeout_seconds: float,
        byte_budget: ByteBudget | None = None,
    ) -> 'ClientConnection':
        """Connects to a server.

        Args:
            host: IP address.
            port: TCP port.
            timeout_seconds: Connect timeout.
            byte_budget: Bounds what is kept of responses; None for no bound.

        Returns:
            The open connection.

        Raises:
            ConnectFailed: The connection was refused, timed out or could not be created.
        """
        try:
            raw_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectFailed(error) from error
        sock = trio.socket.from_stdlib_socket(raw_socket)
        try:
            _set_tcp_options(raw_socket)
            with trio.fail_after(timeout_seconds):
                await sock.connect((host, port))
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            raise ConnectFailed(error) from error
        except BaseException:
            sock.close()
            raise
        source = '{0}:{1}'.format(host, port)
        return cls(sock, raw_socket, byte_budget=byte_budget or ByteBudget(), source=source)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and has no unread response or unexpected input."""
        parser = self._parser
        if parser.is_malformed or parser.responses or parser.is_in_response:
            return False
        if not parser.keeps_alive or len(self._identifier_hashes) >= _MAXIMUM_IDENTIFIERS:
            return False
        try:
            self._raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server sent unrequested bytes or closed the connection.
        return False

    @property
    def has_earlier_requests(self) -> bool:
        """Whether the present request is not the first one, so that others' responses can come."""
        return len(self._identifier_hashes) > 1

    def can_identify(self, identifier: bytes) -> bool:
        """Tells whether the response to a request could be told from any to an earlier request.

        Args:
            identifier: Identifier of the request, which its response repeats; empty for none.

        Returns:
            Whether no earlier request had the identifier. Without one, a response without an
            identifier could belong to any earlier request, so that there must be none.
        """
        if not identifier:
            return not self._identifier_hashes
        return hash(identifier) not in self._identifier_hashes

    def add_identifier(self, identifier: bytes) -> None:
        """Records the identifier of a request that is about to be sent; empty for none."""
        self._identifier_hashes.append(hash(identifier))

    def hold(self, give_up: Callable[[], None]) -> HeldBytes:
        """Opens the account of what the next response holds.

        Args:
            give_up: Ends the request if too much is held in all.

        Returns:
            The account, which must be closed once nothing of the response is kept.
        """
        held = self._byte_budget.open(self._source, give_up)
        self._reader.hold(held)
        return held

    def keep(self, size: int) -> None:
        """Records how many bytes of the present response its reader keeps."""
        self._reader.keep(size)

    def close(self) -> None:
        """Closes the connection and lets go of what it has received."""
        self._socket.close()
        self._parser.close()

    async def send(self, start_line: bytes, fields: HeaderFields, content: bytes) -> None:
        """Sends a request.

        Args:
            start_line: Request line without the line break.
            fields: Header fields, including those that state the body length.
            content: Request body.

        Raises:
            ConnectionBroken: Sending failed; the server may have received the request.
        """
        self._parser.answers_head = start_line.startswith(b'HEAD ')
        view = memoryview(encode_head(start_line, fields) + content)
        try:
            while view:
                view = view[await self._socket.send(view) :]
        except OSError as error:
            raise ConnectionBroken(repr(error)) from error

    async def next_response(self) -> IncomingResponse:
        """Waits for the head of the next response.

        Returns:
            The response; `next_body_part` and `read_full_body` read its body. It stays the next
            one until `drop` removes it.

        Raises:
            ConnectionBroken: The connection failed before the head was complete.
        """
        responses = self._parser.responses
        while not responses:
            await self._reader.receive()
        return responses[0]

    async def next_body_part(self, response: IncomingResponse) -> bytes:
        """Waits for more of a response body.

        Args:
            response: The response that `next_response` returned.

        Returns:
            All body bytes received since the last call; empty at the end of the body.

        Raises:
            ConnectionBroken: The connection failed before the response was complete.
        """
        while not response.unread and not response.is_complete:
            await self._reader.receive()
        part = bytes(response.unread)
        response.unread.clear()
        return part

    def drop(self, response: IncomingResponse) -> None:
        """Removes a complete response, so that the next one can be read."""
        self._parser.responses.remove(response)

    async def read_full_body(self, response: IncomingResponse, maximum_bytes: int) -> bytes:
        """Reads a response body to its end.

        Args:
            response: The response that `next_response` returned.
            maximum_bytes: Maximum size of the body.

        Returns:
            The body.

        Raises:
            ConnectionBroken: The connection failed before the end, or the body is too large.
        """
        length = response.head.content_length
        if length is not None and length > maximum_bytes:
            raise ResponseTooLarge('a body', length)
        part_cost = _PART_COST_BYTES if length is None else 0
        while True:
            size = len(response.unread) + part_cost * response.body_units
            if size > maximum_bytes:
                raise ResponseTooLarge('a body', size)
            if response.is_complete:
                break
            await self._reader.receive()
        content = bytes(response.unread)
        response.unread.clear()
        return content


def _set_tcp_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MILLISECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _TCP_KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _TCP_KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _TCP_KEEPALIVE_PROBES)
