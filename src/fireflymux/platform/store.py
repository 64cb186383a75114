"""Client of the platform's store, which keeps rows in tables.

A table is read in full once and then followed by long polls, each of which waits for the next
changes. The store can be restored from an older copy of its data; each time it increases its
era, which its responses state, so that clients notice that version numbers are reused.
"""

import base64
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlencode

import orjson
import trio

from ..decisions.poll_timing import RepeatPlan, choose_wait
from ..decisions.store_changes import ListedChanges
from ..decisions.store_version import StoreVersion
from ..http.client_connection import ConnectFailed, ConnectionBroken
from .hedged_reads import HedgedRead
from .pending_polls import PendingPoll, PendingPolls
from .store_calls import StoreCalls
from .store_rows import (
    HistoryLost,
    Page,
    Row,
    StoreReply,
    StoreUnavailable,
    TableRows,
    decode_page,
)

_OK = 200
_GONE = 410
#: Timeout of a write, and of opening a connection.
_CALL_TIMEOUT_SECONDS = 1.5
_ROWS_PER_PAGE = 500
_MILLISECONDS_PER_SECOND = 1000

_CALL_FAILURES = (ConnectFailed, ConnectionBroken, trio.TooSlowError, ValueError)


def _ignore(*_: ListedChanges) -> None:
    """Ignores changes, or that a call is overdue."""


def _always() -> bool:
    return True


class StoreClient:
    """Client of the store for one process."""

    def __init__(
        self, address: str, *, on_changes: Callable[[ListedChanges], None] = _ignore
    ) -> None:
        """Creates a client without connecting.

        Args:
            address: IP address and port of the store.
            on_changes: Is called with what each read shows of the changes of the store.
        """
        self._polls = PendingPolls()
        self._on_changes = on_changes
        self._calls = StoreCalls(
            address,
            connect_timeout_seconds=_CALL_TIMEOUT_SECONDS,
            on_new_era=self._polls.cancel,
        )

    @property
    def era(self) -> int:
        """Newest known era of the store, from its responses or from other instances."""
        return self._calls.era

    def update_era(self, era: int) -> None:
        """Records the era of the store; a newer one cancels the pending long polls.

        Args:
            era: Era stated by the store or by another instance; the known one and older ones are
                ignored.
        """
        self._calls.update_era(era)

    async def wait_for_new_era(self) -> None:
        """Waits until a newer era is learned (see `update_era`)."""
        await self._calls.wait_for_new_era()

    async def read_table(
        self,
        table: str,
        *,
        retry_seconds: float | None = None,
        on_overdue: Callable[[], None] = _ignore,
    ) -> TableRows:
        """Reads every row of a table.

        Args:
            table: Name of the table.
            retry_seconds: If the store gave no response about the table, the time until the first
                repetition (see `RepeatPlan.from_retry`); None otherwise.
            on_overdue: Is called each time that a response is overdue.

        Returns:
            The rows, all of one era, as of the version of the first page. Later pages can hold
            newer changes, which `follow_table` then returns again.

        Raises:
            StoreUnavailable: A call failed, or the era changed between two pages.
        """
        rows: list[Row] = []
        version: StoreVersion | None = None
        as_of = 0.0
        plan = _choose_plan(0, retry_seconds)
        start = ''
        while True:
            # Tables are always used with the empty `part`.
            query = {'table': table, 'part': '', 'from': start, 'limit': _ROWS_PER_PAGE}
            page = self._decode_page(await self._read('rows-get', query, plan, on_overdue))
            rows.extend(page.rows)
            # The version of the first page: changes made since then are followed from there.
            if version is None:
                version, as_of = page.version, page.as_of
            if version.era != page.version.era:
                raise StoreUnavailable('the store restarted from an older copy between two pages')
            if not page.has_more:
                return TableRows(tuple(rows), version, as_of)
            if not page.rows or page.rows[-1].key < start:
                raise StoreUnavailable('a page of the table does not go on after the one before')
            # The first key in order after the last one read.
            start = '{0}\0'.format(page.rows[-1].key)

    async def follow_table(
        self,
        table: str,
        after: StoreVersion,
        *,
        may_wait: bool = True,
        retry_seconds: float | None = None,
        may_repeat: Callable[[], bool] = _always,
        on_overdue: Callable[[], None] = _ignore,
    ) -> TableRows | HistoryLost:
        """Waits for changes to a table with one long poll, which is repeated if it is overdue.

        Args:
            table: Name of the table.
            after: Version up to which the changes are known.
            may_wait: Whether the store may wait for a change (see `poll_timing`); it responds at
                once otherwise.
            retry_seconds: As for `read_table`.
            may_repeat: Tells whether the call is repeated before it is overdue, if a response about
                another table shows that there are changes.
            on_overdue: Is called each time that a response is overdue, before the call is repeated.

        Returns:
            The changed rows in order, possibly none, or `HistoryLost` if the store no longer
            has the changes or its era changed.

        Raises:
            StoreUnavailable: The call failed or was rejected.
        """
        now = trio.current_time()
        may_wait = may_wait and not self._calls.clock.claim_sample(now)
        wait_seconds = choose_wait(now, self._polls.list_ends()) if may_wait else 0
        reply: StoreReply | None = None
        poll = PendingPoll(after, now + wait_seconds, may_repeat)
        plan = _choose_plan(wait_seconds, retry_seconds)

        def record_overdue() -> None:
            on_overdue()
            # What the store does not tell about a lost table says nothing of the others.
            if retry_seconds is None:
                self._polls.repeat_all()

        with self._polls.add(poll):
            reply = await self._poll(table, poll, wait_seconds, plan, record_overdue)
        # `reply` is None if `update_era` cancelled the call. Version numbers are reused in each
        # era, so changes since a version of an older era cannot be requested.
        if reply is None or after.era != self.era or reply.status == _GONE:
            return HistoryLost()
        page = self._decode_page(reply)
        return TableRows(page.rows, page.version, page.as_of)

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
        try:
            with trio.fail_after(_CALL_TIMEOUT_SECONDS):
                reply = await self._calls.exchange(
                    'POST /api/rows-tx HTTP/1.1', orjson.dumps(change)
                )
        except _CALL_FAILURES as error:
            raise StoreUnavailable(repr(error)) from error
        if reply.status != _OK:
            raise StoreUnavailable('store responded with status {0}'.format(reply.status))

    async def _poll(
        self,
        table: str,
        poll: PendingPoll,
        wait_seconds: float,
        plan: RepeatPlan,
        on_overdue: Callable[[], None],
    ) -> StoreReply:
        """Sends a long poll; its repetitions do not wait for changes."""
        after = poll.after.number

        async def send(is_repeat: bool) -> StoreReply:
            wait = 0 if is_repeat else int(wait_seconds * _MILLISECONDS_PER_SECOND)
            query = {'table': table, 'after': after, 'wait_ms': wait}
            line = _encode_start_line('rows-feed', query)
            return await self._calls.exchange(line, followed_table=table)

        read = HedgedRead(send, failures=_CALL_FAILURES)
        return await self._run_read(
            read.run(plan, wait_for_repeat=poll.wait_for_repeat, on_overdue=on_overdue)
        )

    async def _read(
        self, name: str, query: dict[str, Any], plan: RepeatPlan, on_overdue: Callable[[], None]
    ) -> StoreReply:
        line = _encode_start_line(name, query)

        async def send(is_repeat: bool) -> StoreReply:
            return await self._calls.exchange(line)

        read = HedgedRead(send, failures=_CALL_FAILURES)
        return await self._run_read(read.run(plan, on_overdue=on_overdue))

    async def _run_read(self, read: Awaitable[StoreReply]) -> StoreReply:
        try:
            reply = await read
        except _CALL_FAILURES as error:
            raise StoreUnavailable(repr(error)) from error
        if reply.era < self.era:
            raise StoreUnavailable('response is of the outdated era {0}'.format(reply.era))
        return reply

    def _decode_page(self, reply: StoreReply) -> Page:
        """Decodes the response to a read, and records what it shows of the store's changes."""
        page = decode_page(reply)
        changes = ListedChanges(
            page.version, frozenset(row.number for row in page.rows), page.as_of
        )
        self._on_changes(changes)
        self._polls.record_changes(changes)
        return page


def _choose_plan(wait_seconds: float, retry_seconds: float | None) -> RepeatPlan:
    """Returns when a read is repeated; `retry_seconds` as in `StoreClient.read_table`."""
    if retry_seconds is None:
        return RepeatPlan.from_wait(wait_seconds)
    return RepeatPlan.from_retry(retry_seconds)


def _encode_start_line(name: str, query: dict[str, Any]) -> str:
    return 'GET /api/{0}?{1} HTTP/1.1'.format(name, urlencode(query))
