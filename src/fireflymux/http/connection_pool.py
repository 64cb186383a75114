"""Connections kept open to one server, within a bound on their number."""

from collections import deque
from typing import Any, Protocol

import trio

from .client_connection import ClientConnection
from .messages import Fields
from .response_parser import Answer

#: Margin before the server's own idle timeout, in seconds.
_IDLE_MARGIN_SECONDS = 1.0
#: Idle timeout assumed of a server that states none.
_DEFAULT_IDLE_SECONDS = 4.0
_DEFAULT_MAXIMUM_IDLE = 64


class ServerLink(Protocol):
    """What a request needs of a connection; `ClientConnection` tells what each method does."""

    def close(self) -> None:
        """Closes the connection."""

    async def send(self, start_line: bytes, fields: Fields, content: bytes) -> None:
        """Sends a request."""

    async def next_answer(self) -> Answer:
        """Waits for the head of the next answer."""

    async def next_piece(self, answer: Answer) -> bytes:
        """Waits for the next part of an answer's body."""

    async def read_whole(self, answer: Answer, maximum_bytes: int) -> bytes:
        """Reads the body of an answer to its end."""

    def drop(self, answer: Answer) -> None:
        """Takes a whole answer off the connection."""


class ServerLinks(Protocol):
    """What requests need of a pool; `ConnectionPool` tells what each method does."""

    maximum_idle: int

    async def take(self) -> ServerLink:
        """Takes or opens a connection."""

    def give_back(self, connection: Any, idle_seconds: float | None) -> None:
        """Keeps a connection that `take` returned, or closes it."""

    def close(self) -> None:
        """Closes the idle connections."""

    def close_unusable(self) -> None:
        """Closes the idle connections that can carry no request any more."""


class ConnectionPool:
    """Idle connections to one server; the one used last is taken first.

    Attributes:
        maximum_idle: Idle connections that are kept.
    """

    def __init__(self, host: str, port: int, *, connect_timeout_seconds: float) -> None:
        """Starts with no connection.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            connect_timeout_seconds: Longest wait for a new connection.
        """
        self.maximum_idle = _DEFAULT_MAXIMUM_IDLE
        self._host = host
        self._port = port
        self._connect_timeout = connect_timeout_seconds
        self._idle: deque[ClientConnection] = deque()

    async def take(self) -> ClientConnection:
        """Takes an idle connection, or opens one.

        Returns:
            A connection that carries nothing.

        Raises:
            ConnectFailed: No connection could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if trio.current_time() < connection.idle_until and connection.is_reusable:
                return connection
            connection.close()
        return await self.open()

    async def open(self) -> ClientConnection:
        """Opens a connection.

        Returns:
            A connection that carries nothing.

        Raises:
            ConnectFailed: The server did not accept the connection in time.
        """
        return await ClientConnection.open(
            self._host, self._port, timeout_seconds=self._connect_timeout
        )

    def give_back(self, connection: ClientConnection, idle_seconds: float | None) -> None:
        """Keeps a connection for the next request, or closes it.

        Args:
            connection: A connection after a whole answer.
            idle_seconds: Idle timeout that the server stated, if any.
        """
        timeout_seconds = _DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
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

    def close_unusable(self) -> None:
        """Closes the idle connections that timed out, ended, or brought bytes unasked."""
        now = trio.current_time()
        kept: deque[ClientConnection] = deque()
        for connection in self._idle:
            if connection.idle_until > now and connection.is_reusable:
                kept.append(connection)
                continue
            connection.close()
        self._idle = kept

    def _evict(self) -> None:
        now = trio.current_time()
        while self._idle:
            if self._idle[0].idle_until > now and len(self._idle) <= self.maximum_idle:
                return
            self._idle.popleft().close()
