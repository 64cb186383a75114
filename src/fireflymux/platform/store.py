"""Client of the platform's store: rows of tables, read whole or followed as they change."""

import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import orjson
import trio

from ..http.client_connection import ConnectFailed, ConnectionBroken
from ..http.connection_pool import ConnectionPool
from ..http.messages import Fields

_OK = 200
_HISTORY_LOST = 410
_CALL_SECONDS = 1.5
#: Longest wait for the answer of a call that the store holds back, beyond its own bound.
_FOLLOW_SLACK_SECONDS = 0.6
_MAXIMUM_ANSWER_BYTES = 8388608
_PAGE_ROWS = 500
_MILLISECONDS = 1000


class StoreUnavailable(Exception):
    """The store did not answer, or refused the call; a write can have taken effect."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    Attributes:
        key: Key of the row.
        content: Its content; None if the row was removed.
        version: Version of the store at its last change.
    """

    key: str
    content: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of a table up to a version of the store."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes since a version; the table must be read whole."""


class StoreClient:
    """Calls of one process to the store."""

    def __init__(self, address: str) -> None:
        """Prepares the calls.

        Args:
            address: IP address and port of the store.
        """
        host, _, port = address.rpartition(':')
        self._address = address
        self._pool = ConnectionPool(host, int(port), connect_timeout_seconds=_CALL_SECONDS)

    async def read_table(self, table: str) -> TableRows:
        """Reads every row of a table.

        Args:
            table: Name of the table.

        Returns:
            The rows.

        Raises:
            StoreUnavailable: The store did not answer.
        """
        rows: list[Row] = []
        version = 0
        start = ''
        while True:
            query = {'table': table, 'part': '', 'from': start, 'limit': _PAGE_ROWS}
            page = await self._call_ok('GET', 'rows-get', query)
            rows.extend(_decode_row(raw) for raw in page['rows'])
            # Changes after the first page are followed from there.
            version = version or page['ver']
            if not page.get('more_pages'):
                return TableRows(tuple(rows), version)
            start = '{0}\0'.format(rows[-1].key)

    async def follow_table(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> TableRows | HistoryLost:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version that is known.
            wait_seconds: Longest wait for a change.

        Returns:
            The changed rows in order, or that the changes are no longer known.

        Raises:
            StoreUnavailable: The store did not answer.
        """
        query = {'table': table, 'after': after, 'wait_ms': int(wait_seconds * _MILLISECONDS)}
        timeout = wait_seconds + _FOLLOW_SLACK_SECONDS
        status, page = await self._call('GET', 'rows-feed', query, timeout=timeout)
        if status == _HISTORY_LOST:
            return HistoryLost()
        if status != _OK:
            raise StoreUnavailable('status {0}'.format(status))
        return TableRows(tuple(_decode_row(raw) for raw in page['rows']), page['ver'])

    async def put_row(self, table: str, key: str, content: bytes) -> None:
        """Writes a row, replacing what is there.

        Args:
            table: Name of the table.
            key: Key of the row.
            content: Its content.

        Raises:
            StoreUnavailable: The store did not answer; the write can have taken effect.
        """
        encoded = base64.b64encode(content).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': encoded}
        await self._write({'expect': [], 'writes': [row], 'remove': []})

    async def remove_row(self, table: str, key: str) -> None:
        """Removes a row.

        Args:
            table: Name of the table.
            key: Key of the row.

        Raises:
            StoreUnavailable: The store did not answer; the write can have taken effect.
        """
        row = {'table': table, 'part': '', 'key': key}
        await self._write({'expect': [], 'writes': [], 'remove': [row]})

    async def _write(self, change: dict[str, Any]) -> None:
        status, _ = await self._call('POST', 'rows-tx', {}, change=change)
        if status != _OK:
            raise StoreUnavailable('status {0}'.format(status))

    async def _call_ok(self, method: str, name: str, query: dict[str, Any]) -> Any:
        status, page = await self._call(method, name, query)
        if status != _OK:
            raise StoreUnavailable('status {0}'.format(status))
        return page

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        *,
        change: Any = None,
        timeout: float = _CALL_SECONDS,
    ) -> tuple[int, Any]:
        target = '/api/{0}'.format(name)
        if query:
            target = '{0}?{1}'.format(target, urlencode(query))
        content = b'' if change is None else orjson.dumps(change)
        try:
            with trio.fail_after(timeout):
                return await self._exchange('{0} {1} HTTP/1.1'.format(method, target), content)
        except (ConnectFailed, ConnectionBroken, trio.TooSlowError, ValueError) as error:
            raise StoreUnavailable(repr(error)) from error

    async def _exchange(self, start_line: str, content: bytes) -> tuple[int, Any]:
        connection = await self._pool.take()
        fields: Fields = [(b'Host', self._address.encode())]
        if content:
            fields.append((b'Content-Type', b'application/json'))
            fields.append((b'Content-Length', b'%d' % len(content)))
        is_done = False
        try:
            await connection.send(start_line.encode(), fields, content)
            answer = await connection.next_answer()
            body = await connection.read_whole(answer, _MAXIMUM_ANSWER_BYTES)
            connection.drop(answer)
            self._pool.give_back(connection, None)
            is_done = True
        finally:
            if not is_done:
                connection.close()
        status = answer.head.status
        return status, orjson.loads(body) if body and status == _OK else None


def _decode_row(raw: dict[str, Any]) -> Row:
    if raw.get('removed'):
        return Row(raw['key'], None, raw.get('ver', 0))
    return Row(raw['key'], base64.b64decode(raw['value']), raw['ver'])
