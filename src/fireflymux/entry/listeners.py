"""Listens on the sockets of an entry instance and runs a task for each connection."""

import errno
import socket
from collections.abc import Callable

import trio

from ..http.byte_budget import ByteBudget
from ..http.messages import HttpLimits
from ..http.server_connection import Handler, ServerConnection
from ..observability.logs import get_logger

_log = get_logger(__name__)
#: Length of the kernel's accept queue; when it is full, clients have to retry the connection.
_BACKLOG = 128
#: Connections accepted in a row before the tasks of open connections may run.
_ACCEPTS_PER_TURN = 8
#: Pause before the next accept when the process or system has run out of descriptors or memory.
_EXHAUSTED_PAUSE_SECONDS = 0.05
_EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
#: Minimum time between two evictions of idle connections.
_EVICTION_INTERVAL_SECONDS = 0.05
#: Idle connections closed in one eviction.
_EVICTION_BATCH = 32


class Listener:
    """One listening socket and its open connections.

    Under a burst of new connections, only a few are accepted at a time and the others stay in the
    kernel's queue, so that requests that were already read make progress.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limits: Callable[[], HttpLimits],
        is_stopping: Callable[[], bool],
        maximum_connections: int = 0,
        byte_budget: ByteBudget | None = None,
    ) -> None:
        """Creates a listener that is not open yet.

        Args:
            address: IP address and port to listen on.
            handler: Handles one request and writes its response.
            limits: Returns the limits on what clients may send, for each new connection.
            is_stopping: Tells whether connections close after their current response.
            maximum_connections: Number of open connections from which on idle ones are closed when
                a new one is accepted, which happens even if none is idle; zero to close none.
            byte_budget: Bounds what is kept of requests and of responses that are read slowly;
                None for no bound.
        """
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._handler = handler
        self._limits = limits
        self._is_stopping = is_stopping
        self._maximum_connections = maximum_connections
        self._byte_budget = byte_budget
        self._connections: set[ServerConnection] = set()
        self._next_eviction = float('-inf')

    def close_idle(self) -> None:
        """Closes the connections on which no request is being read or handled."""
        for connection in list(self._connections):
            connection.stop_reading_if_idle()

    def count_open(self) -> int:
        """Counts the open connections."""
        return len(self._connections)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens, and accepts and serves connections until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._address)
            sock.listen(_BACKLOG)
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    await trio.lowlevel.wait_readable(sock)
                    await self._accept_some(sock, nursery)

    async def _accept_some(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        for _ in range(_ACCEPTS_PER_TURN):
            try:
                accepted, _address = sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _EXHAUSTION_ERRNOS:
                    _log.warning('descriptors_exhausted', reason=repr(error))
                    self._close_longest_idle()
                    await trio.sleep(_EXHAUSTED_PAUSE_SECONDS)
                continue
            if self._maximum_connections and len(self._connections) >= self._maximum_connections:
                self._evict_idle()
            nursery.start_soon(self._serve, accepted)

    def _evict_idle(self) -> None:
        """Closes a batch of idle connections, unless that was done a moment ago."""
        now = trio.current_time()
        if now < self._next_eviction:
            return
        self._next_eviction = now + _EVICTION_INTERVAL_SECONDS
        closed = self._close_longest_idle()
        _log.info('idle_callers_closed', closed=closed, connections=len(self._connections))

    def _close_longest_idle(self) -> int:
        """Closes the connections that have been idle for longest, and returns their number."""
        idle = [connection for connection in self._connections if connection.is_idle]
        idle.sort(key=lambda connection: connection.idle_since)
        for connection in idle[:_EVICTION_BATCH]:
            connection.stop_reading_if_idle()
        return min(len(idle), _EVICTION_BATCH)

    async def _serve(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ServerConnection(
            accepted,
            self._limits(),
            is_stopping=self._is_stopping,
            byte_budget=self._byte_budget,
        )
        self._connections.add(connection)
        try:
            await connection.serve(self._handler)
        except OSError as error:
            _log.debug('connection_failed', reason=repr(error))
        except Exception:
            # What fails one connection must not end those of the other callers.
            _log.exception('connection_crashed')
        finally:
            self._connections.discard(connection)
