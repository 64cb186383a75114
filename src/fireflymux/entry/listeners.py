"""Listening sockets of an entry instance and the tasks of their connections."""

import errno
import socket
from collections.abc import Callable

import trio

from ..http.messages import HttpLimits
from ..http.server_connection import Handler, ServerConnection
from ..observability.logs import get_logger

_log = get_logger(__name__)
_BACKLOG = 1024
_EXHAUSTED_SECONDS = 0.05
_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Listener:
    """One listening socket and its open connections."""

    def __init__(
        self,
        address: str,
        respond: Handler,
        *,
        limits: Callable[[], HttpLimits],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Prepares to listen.

        Args:
            address: IP address and port.
            respond: Answers one request.
            limits: Returns the bounds on what callers may send.
            is_stopping: Tells whether connections end after their current answer.
        """
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._respond = respond
        self._limits = limits
        self._is_stopping = is_stopping
        self._connections: set[ServerConnection] = set()

    def close_idle(self) -> None:
        """Ends the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def count_open(self) -> int:
        """Counts the open connections."""
        return len(self._connections)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens until cancelled."""
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await sock.bind(self._address)
            sock.listen(_BACKLOG)
            async with trio.open_nursery() as nursery:
                task_status.started()
                await self._accept(sock, nursery)

    async def _accept(self, sock: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                accepted, _ = await sock.accept()
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    _log.warning('descriptors_exhausted', reason=repr(error))
                    await trio.sleep(_EXHAUSTED_SECONDS)
                continue
            nursery.start_soon(self._serve, accepted)

    async def _serve(self, accepted: trio.socket.SocketType) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ServerConnection(accepted, self._limits(), is_stopping=self._is_stopping)
        self._connections.add(connection)
        try:
            await connection.serve(self._respond)
        except OSError as error:
            _log.debug('connection_failed', reason=repr(error))
        finally:
            self._connections.discard(connection)
