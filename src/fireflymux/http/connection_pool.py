"""Pool of idle keep-alive connections to one server.

"Upstream" names what the entry role sees of a server: `UpstreamConnection` and `UpstreamPool` are
the interfaces that `ClientConnection` and `ConnectionPool` implement.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import trio

from .byte_budget import ByteBudget, HeldBytes
from .client_connection import ClientConnection
from .messages import HeaderFields
from .response_parser import IncomingResponse

#: Idle connections are discarded this long before the server's idle timeout, so that no request
#: is sent on a connection that the server is about to close.
_IDLE_MARGIN_SECONDS = 1.0
#: Idle timeout assumed for a server that states none.
_DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
_DEFAULT_MAXIMUM_IDLE_CONNECTIONS = 64


class UpstreamConnection(Protocol):
    """Interface of a connection for one request; `ClientConnection` documents the methods."""

    @property
    def has_earlier_requests(self) -> bool:
        """Whether the connection carried other requests before this one."""

    def close(self) -> None:
        """Closes the connection."""

    def hold(self, give_up: Callable[[], None]) -> HeldBytes:
        """Opens the account of what the next response holds."""

    def keep(self, size: int) -> None:
        """Records how many bytes of the present response its reader keeps."""

    async def send(self, start_line: bytes, fields: HeaderFields, content: bytes) -> None:
        """Sends a request."""

    async def next_response(self) -> IncomingResponse:
        """Waits for the head of the next response."""

    async def next_body_part(self, response: IncomingResponse) -> bytes:
        """Waits for more of a response body."""

    async def read_full_body(self, response: IncomingResponse, maximum_bytes: int) -> bytes:
        """Reads a response body to its end."""

    def drop(self, response: IncomingResponse) -> None:
        """Removes a complete response, so that the next one can be read."""


class UpstreamPool(Protocol):
    """Interface of a connection pool; `ConnectionPool` documents the methods."""

    maximum_idle_connections: int

    async def take(self, identifier: bytes) -> UpstreamConnection:
        """Returns an idle connection or opens a new one; `release_connection` gives it back."""

    def release_connection(self, connection: Any, idle_seconds: float | None) -> None:
        """Returns a connection to the pool, which keeps or closes it."""

    def close(self) -> None:
        """Closes the idle connections."""

    def close_stale(self) -> None:
        """Closes idle connections that timed out, were closed or received unexpected bytes."""


class ConnectionPool:
    """Idle connections to one server, reused in last-in, first-out order.

    The number of open connections is not limited, only the number of idle ones.

    Attributes:
        maximum_idle_connections: Maximum number of idle connections kept open.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        connect_timeout_seconds: float,
        byte_budget: ByteBudget | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            connect_timeout_seconds: Connect timeout of a new connection.
            byte_budget: Bounds what is kept of responses; None for no bound.
        """
        self.maximum_idle_connections = _DEFAULT_MAXIMUM_IDLE_CONNECTIONS
        self._host = host
        self._port = port
        self._connect_timeout_seconds = connect_timeout_seconds
        self._byte_budget = byte_budget
        self._idle: deque[ClientConnection] = deque()

    async def take(self, identifier: bytes) -> ClientConnection:
        """Returns the most recently used idle connection that suits a request, or opens a new one.

        Idle connections that timed out or were closed by the server are discarded. Those on which
        the response could be mistaken for one to an earlier request stay idle.

        Args:
            identifier: Identifier of the request, which its response repeats; empty for none.

        Returns:
            A connection with no request in progress, which counts the identifier as used.

        Raises:
            ConnectFailed: No connection could be opened.
        """
        unsuitable: list[ClientConnection] = []
        connection = self._pop_idle()
        while connection is not None and not connection.can_identify(identifier):
            unsuitable.append(connection)
            connection = self._pop_idle()
        self._idle.extend(reversed(unsuitable))
        if connection is None:
            connection = await self.open()
        connection.add_identifier(identifier)
        return connection

    async def take_any(self) -> ClientConnection:
        """Returns the most recently used idle connection, or opens a new one.

        It is for a server whose responses repeat no identifier, and never sends one twice.

        Returns:
            A connection with no request in progress.

        Raises:
            ConnectFailed: No connection could be opened.
        """
        return self._pop_idle() or await self.open()

    async def open(self) -> ClientConnection:
        """Opens a new connection.

        Returns:
            A connection with no request in progress.

        Raises:
            ConnectFailed: The connection could not be opened in time.
        """
        return await ClientConnection.open(
            self._host,
            self._port,
            timeout_seconds=self._connect_timeout_seconds,
            byte_budget=self._byte_budget,
        )

    def release_connection(self, connection: ClientConnection, idle_seconds: float | None) -> None:
        """Returns a connection to the pool, or closes it if it cannot be reused.

        Args:
            connection: A connection with no request in progress.
            idle_seconds: Idle timeout that the server stated, if any.
        """
        timeout_seconds = _DEFAULT_IDLE_TIMEOUT_SECONDS if idle_seconds is None else idle_seconds
        usable_seconds = timeout_seconds - _IDLE_MARGIN_SECONDS
        if usable_seconds <= 0 or not connection.is_reusable:
            connection.close()
            return
        connection.idle_until = trio.current_time() + usable_seconds
        self._idle.append(connection)
        self._evict()

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def close_stale(self) -> None:
        """Closes idle connections that timed out, were closed or received unexpected bytes."""
        now = trio.current_time()
        kept: deque[ClientConnection] = deque()
        for connection in self._idle:
            if connection.idle_until > now and connection.is_reusable:
                kept.append(connection)
                continue
            connection.close()
        self._idle = kept

    def _pop_idle(self) -> ClientConnection | None:
        """Removes the most recently used idle connection that can be reused; None if none can."""
        while self._idle:
            connection = self._idle.pop()
            if trio.current_time() < connection.idle_until and connection.is_reusable:
                return connection
            connection.close()
        return None

    def _evict(self) -> None:
        """Closes idle connections from the oldest on, those that timed out or exceed the maximum.

        It stops at the first that has not timed out, once the maximum is kept. Later ones can
        have timed out already, as servers state idle timeouts of different length; `take` and
        `close_stale` discard them.
        """
        now = trio.current_time()
        while self._idle:
            if self._idle[0].idle_until > now and len(self._idle) <= self.maximum_idle_connections:
                return
            self._idle.popleft().close()
