"""Client of the platform's store, which keeps rows in tables.

A table is read in full once and then followed by long polls, each of which waits for the next
changes. The store can be restored from an older copy of its data; each time it increases its
era, which its responses state, so that clients notice that version numbers are reused.
"""

import base64
from typing import Any
from urllib.parse import urlencode

import orjson
import trio

from ..bounded_values import MAXIMUM_INTEGER, parse_integer
from ..decisions.store_version import StoreVersion
from ..http.client_connection import ConnectFailed, ConnectionBroken
from ..http.messages import ResponseHead, find_header
from ..observability.logs import get_logger
from .store_connections import StoreConnections
from .store_rows import HistoryLost, Row, StoreReply, StoreUnavailable, TableRows, decode_page

_log = get_logger(__name__)

_OK = 200
_GONE = 410
_CALL_TIMEOUT_SECONDS = 1.5
#: Added to the wait time of a long poll to get the timeout of its call.
_FOLLOW_SLACK_SECONDS = 0.6
_ROWS_PER_PAGE = 500
#: Bytes of a malformed header field that are logged.
_LOGGED_BYTES = 100
_MILLISECONDS_PER_SECOND = 1000
#: Response field with the store's era, which increases when it is restored from an older copy.
_ERA_FIELD = b'store-era'


class StoreClient:
    """Client of the store for one process.

    Attributes:
        era: Newest known era of the store, from its responses or from other instances.
    """

    def __init__(self, address: str) -> None:
        """Creates a client without connecting.

        Args:
            address: IP address and port of the store.
        """
        self.era = 0
        self._connections = StoreConnections(
            address, connect_timeout_seconds=_CALL_TIMEOUT_SECONDS
        )
        self._follow_scopes: set[trio.CancelScope] = set()
        self._era_changed = trio.Event()

    def update_era(self, era: int) -> None:
        """Records the era of the store; a newer one cancels the pending long polls.

        The known era begins at zero, so the first greater one that is learned counts as newer,
        too, although the store may not have been restored since this process started.

        Args:
            era: Era stated by the store or by another instance; the known one and older ones are
                ignored.
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
        """Waits until a newer era is learned (see `update_era`)."""
        await self._era_changed.wait()

    async def read_table(self, table: str) -> TableRows:
        """Reads every row of a table.

        Args:
            table: Name of the table.

        Returns:
            The rows, all of one era, as of the version of the first page. Later pages can hold
            newer changes, which `follow_table` then returns again.

        Raises:
            StoreUnavailable: A call failed, or the era changed between two pages.
        """
        rows: list[Row] = []
        version: StoreVersion | None = None
        start = ''
        while True:
            # Tables are always used with the empty `part`.
            query = {'table': table, 'part': '', 'from': start, 'limit': _ROWS_PER_PAGE}
            page = decode_page(await self._call('GET', 'rows-get', query))
            rows.extend(page.rows)
            # The version of the first page: changes made since then are followed from there.
            version = version or page.version
            if version.era != page.version.era:
                raise StoreUnavailable('the store restarted from an older copy between two pages')
            if not page.has_more:
                return TableRows(tuple(rows), version)
            if not page.rows or page.rows[-1].key < start:
                raise StoreUnavailable('a page of the table does not go on after the one before')
            # The first key in order after the last one read.
            start = '{0}\0'.format(page.rows[-1].key)

    async def follow_table(
        self,
        table: str,
        after: StoreVersion,
        wait_seconds: float,
    ) -> TableRows | HistoryLost:
        """Waits for changes to a table with one long poll.

        Args:
            table: Name of the table.
            after: Version up to which the changes are known.
            wait_seconds: Time after which the store responds even without a change.

        Returns:
            The changed rows in order, possibly none, or `HistoryLost` if the store no longer
            has the changes or its era changed.

        Raises:
            StoreUnavailable: The call failed or was rejected.
        """
        query = {
            'table': table,
            'after': after.number,
            'wait_ms': int(wait_seconds * _MILLISECONDS_PER_SECOND),
        }
        timeout = wait_seconds + _FOLLOW_SLACK_SECONDS
        reply: StoreReply | None = None
        with trio.CancelScope() as scope:
            self._follow_scopes.add(scope)
            try:
                reply = await self._call(
                    'GET', 'rows-feed', query, timeout=timeout, followed_table=table
                )
            finally:
                self._follow_scopes.discard(scope)
        # `reply` is None if `update_era` cancelled the call. Version numbers are reused in each
        # era, so changes since a version of an older era cannot be requested.
        if reply is None or after.era != self.era or reply.status == _GONE:
            return HistoryLost()
        page = decode_page(reply)
        return TableRows(page.rows, page.version)

    async def put_row(self, table: str, key: str, content: bytes) -> None:
        """Writes a row unconditionally.

        Args:
            table: Name of the table.
            key: Key of the row.
            content: Content of the row.

        Raises:
            StoreUnavailable: The call failed or was rejected; the write may still have taken
                effect.
        """
        encoded = base64.b64encode(content).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': encoded}
        await self._write({'expect': [], 'writes': [row], 'remove': []})

    async def remove_row(self, table: str, key: str) -> None:
        """Removes a row unconditionally.

        Args:
            table: Name of the table.
            key: Key of the row.

        Raises:
            StoreUnavailable: The call failed or was rejected; the removal may still have taken
                effect.
        """
        row = {'table': table, 'part': '', 'key': key}
        await self._write({'expect': [], 'writes': [], 'remove': [row]})

    async def _write(self, change: dict[str, Any]) -> None:
        reply = await self._call('POST', 'rows-tx', {}, change=change)
        if reply.status != _OK:
            raise StoreUnavailable('store responded with status {0}'.format(reply.status))

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        *,
        change: Any = None,
        timeout: float = _CALL_TIMEOUT_SECONDS,
        followed_table: str = '',
    ) -> StoreReply:
        target = '/api/{0}'.format(name)
        if query:
            target = '{0}?{1}'.format(target, urlencode(query))
        content = b'' if change is None else orjson.dumps(change)
        try:
            with trio.fail_after(timeout):
                reply = await self._exchange(
                    '{0} {1} HTTP/1.1'.format(method, target), content, followed_table
                )
        except (ConnectFailed, ConnectionBroken, trio.TooSlowError, ValueError) as error:
            raise StoreUnavailable(repr(error)) from error
        if reply.era < self.era:
            raise StoreUnavailable('response is of the outdated era {0}'.format(reply.era))
        return reply

    async def _exchange(self, start_line: str, content: bytes, followed_table: str) -> StoreReply:
        response = await self._connections.exchange(
            start_line, content, followed_table=followed_table
        )
        status = response.head.status
        json_body = orjson.loads(response.body) if response.body and status == _OK else None
        era = self._read_era(response.head)
        self.update_era(era)
        return StoreReply(status, era, json_body)

    def _read_era(self, head: ResponseHead) -> int:
        """Returns the era stated in a response, or the known one if it states no valid one."""
        stated = find_header(head.fields, _ERA_FIELD)
        era = parse_integer(stated, maximum=MAXIMUM_INTEGER)
        if era is None and stated:
            _log.warning('era_malformed', stated=stated[:_LOGGED_BYTES].decode('latin-1'))
        return self.era if era is None else era
