"""Client of the platform's store: rows of tables, read whole or followed as they change."""

import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import orjson
import trio

from ..decisions.store_version import StoreVersion
from ..http.client_connection import ConnectFailed, ConnectionBroken
from ..http.connection_pool import ConnectionPool
from ..http.messages import AnswerHead, Fields, find_field
from ..observability.logs import get_logger

_log = get_logger(__name__)

_OK = 200
_GONE = 410
_CALL_TIMEOUT_SECONDS = 1.5
#: Longest wait for the answer of a call that the store holds back, beyond its own bound.
_FOLLOW_SLACK_SECONDS = 0.6
_MAXIMUM_ANSWER_BYTES = 8388608
_ROWS_PER_PAGE = 500
_MILLISECONDS_PER_SECOND = 1000
#: Rises in every answer each time the store comes back from an older copy.
_ERA_FIELD = b'store-era'


class StoreUnavailable(Exception):
    """The store did not answer, or refused the call; a write can have taken effect."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    Attributes:
        key: Key of the row.
        content: Its content; None if the row was removed.
        number: Number of its last change, within the era of the store.
    """

    key: str
    content: bytes | None
    number: int


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of a table up to a version of the store."""

    rows: tuple[Row, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes since a version; the table must be read whole."""


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the store.

    Attributes:
        status: Status code.
        era: Era of the store that gave it.
        page: Decoded body; None unless the call succeeded.
    """

    status: int
    era: int
    page: Any


class StoreClient:
    """Calls of one process to the store.

    Attributes:
        era: Newest era of the store that is known, from its answers or from other instances.
    """

    def __init__(self, address: str) -> None:
        """Prepares the calls.

        Args:
            address: IP address and port of the store.
        """
        host, _, port = address.rpartition(':')
        self.era = 0
        self._address = address
        self._pool = ConnectionPool(host, int(port), connect_timeout_seconds=_CALL_TIMEOUT_SECONDS)
        self._follow_scopes: set[trio.CancelScope] = set()
        self._era_changed = trio.Event()

    def note_era(self, era: int) -> None:
        """Takes over the era of the store; a newer one ends the calls that follow tables.

        Args:
            era: Era that the store, or another instance, stated.
        """
        if era <= self.era:
            return
        _log.warning('store_went_back', era=era, previous=self.era)
        self.era = era
        for scope in self._follow_scopes:
            scope.cancel()
        self._era_changed.set()
        self._era_changed = trio.Event()

    async def wait_for_new_era(self) -> None:
        """Waits until the store comes back from an older copy."""
        await self._era_changed.wait()

    async def read_table(self, table: str) -> TableRows:
        """Reads every row of a table.

        Args:
            table: Name of the table.

        Returns:
            The rows, all of one era.

        Raises:
            StoreUnavailable: The store did not answer, or went back meanwhile.
        """
        rows: list[Row] = []
        version: StoreVersion | None = None
        start = ''
        while True:
            query = {'table': table, 'part': '', 'from': start, 'limit': _ROWS_PER_PAGE}
            reply = await self._call('GET', 'rows-get', query)
            if reply.status != _OK:
                raise StoreUnavailable('status {0}'.format(reply.status))
            rows.extend(_decode_row(raw) for raw in reply.page['rows'])
            # Changes after the first page are followed from there.
            version = version or StoreVersion(reply.era, reply.page['ver'])
            if version.era != reply.era:
                raise StoreUnavailable('the store went back between two pages')
            if not reply.page.get('more_pages'):
                return TableRows(tuple(rows), version)
            start = '{0}\0'.format(rows[-1].key)

    async def follow_table(
        self,
        table: str,
        after: StoreVersion,
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
        query = {
            'table': table,
            'after': after.number,
            'wait_ms': int(wait_seconds * _MILLISECONDS_PER_SECOND),
        }
        timeout = wait_seconds + _FOLLOW_SLACK_SECONDS
        reply: _Reply | None = None
        with trio.CancelScope() as scope:
            self._follow_scopes.add(scope)
            try:
                reply = await self._call('GET', 'rows-feed', query, timeout=timeout)
            finally:
                self._follow_scopes.discard(scope)
        # The same number names another change in each era.
        if reply is None or after.era != self.era or reply.status == _GONE:
            return HistoryLost()
        if reply.status != _OK:
            raise StoreUnavailable('status {0}'.format(reply.status))
        rows = tuple(_decode_row(raw) for raw in reply.page['rows'])
        return TableRows(rows, StoreVersion(reply.era, reply.page['ver']))

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
        reply = await self._call('POST', 'rows-tx', {}, change=change)
        if reply.status != _OK:
            raise StoreUnavailable('status {0}'.format(reply.status))

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        *,
        change: Any = None,
        timeout: float = _CALL_TIMEOUT_SECONDS,
    ) -> _Reply:
        target = '/api/{0}'.format(name)
        if query:
            target = '{0}?{1}'.format(target, urlencode(query))
        content = b'' if change is None else orjson.dumps(change)
        try:
            with trio.fail_after(timeout):
                reply = await self._exchange('{0} {1} HTTP/1.1'.format(method, target), content)
        except (ConnectFailed, ConnectionBroken, trio.TooSlowError, ValueError) as error:
            raise StoreUnavailable(repr(error)) from error
        if reply.era < self.era:
            raise StoreUnavailable('an answer of era {0}'.format(reply.era))
        return reply

    async def _exchange(self, start_line: str, content: bytes) -> _Reply:
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
        page = orjson.loads(body) if body and status == _OK else None
        era = self._read_era(answer.head)
        self.note_era(era)
        return _Reply(status, era, page)

    def _read_era(self, head: AnswerHead) -> int:
        """Returns the era that an answer states; the known one where it states none."""
        stated = find_field(head.fields, _ERA_FIELD)
        return int(stated) if stated.isdigit() else self.era


def _decode_row(raw: dict[str, Any]) -> Row:
    if raw.get('removed'):
        return Row(raw['key'], None, raw.get('ver', 0))
    return Row(raw['key'], base64.b64decode(raw['value']), raw['ver'])
