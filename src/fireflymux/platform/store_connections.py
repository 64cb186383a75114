"""Connections to the platform's store."""

from dataclasses import dataclass
from functools import partial

from ..http.connection_pool import ConnectionPool
from ..http.messages import HeaderFields, ResponseHead

_MAXIMUM_RESPONSE_BYTES = 8388608


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """A response of the store with its whole body."""

    head: ResponseHead
    body: bytes


class StoreConnections:
    """Connections to the store of one process.

    A response repeats nothing of its request, so that only the connection tells which call it
    belongs to. A connection therefore carries either one call, or the long polls of one table: if
    an earlier response is sent again there, it only tells what is known already.
    """

    def __init__(self, address: str, *, connect_timeout_seconds: float) -> None:
        """Creates the pools without connecting.

        Args:
            address: IP address and port of the store.
            connect_timeout_seconds: Maximum time to open a connection.
        """
        host, _, port = address.rpartition(':')
        self._address = address
        self._open_pool = partial(
            ConnectionPool, host, int(port), connect_timeout_seconds=connect_timeout_seconds
        )
        self._follow_pools: dict[str, ConnectionPool] = {}

    async def exchange(
        self, start_line: str, content: bytes, *, followed_table: str
    ) -> StoreResponse:
        """Sends a request and reads its response.

        Args:
            start_line: Request line.
            content: JSON body; empty for none.
            followed_table: Table that the long poll follows, on the connection of its earlier
                ones; empty for a call, which gets a connection of its own.

        Returns:
            The response.

        Raises:
            ConnectFailed: No connection could be opened.
            ConnectionBroken: The connection broke, or the response is malformed or too large.
        """
        pool = self._get_pool(followed_table)
        connection = await pool.take_any()
        fields: HeaderFields = [(b'Host', self._address.encode())]
        if content:
            fields.append((b'Content-Type', b'application/json'))
            fields.append((b'Content-Length', b'%d' % len(content)))
        is_kept = False
        try:
            await connection.send(start_line.encode(), fields, content)
            response = await connection.next_response()
            body = await connection.read_full_body(response, _MAXIMUM_RESPONSE_BYTES)
            connection.drop(response)
            if followed_table:
                pool.release_connection(connection, None)
                is_kept = True
        finally:
            if not is_kept:
                connection.close()
        return StoreResponse(response.head, body)

    def _get_pool(self, followed_table: str) -> ConnectionPool:
        """Returns the connections for following a table; an empty pool for any other call."""
        if not followed_table:
            return self._open_pool()
        return self._follow_pools.setdefault(followed_table, self._open_pool())
