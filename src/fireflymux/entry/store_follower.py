"""Keeps the state of an entry instance up to date with the tables of the store.

Every instance first reads a table in full. A few instances of each failure domain then follow it:
they ask for the changes since a version, and the store responds when there is one or the wait is
over. The others learn of changes from these, which limits the calls to the store.
"""

from collections.abc import Callable, Sequence
from functools import partial

import attrs
import trio

from ..decisions.evacuations import EvacuationList
from ..decisions.poll_timing import RETRY_SECONDS, choose_retry
from ..decisions.store_version import StoreVersion
from ..observability.logs import get_logger
from ..platform.configuration_row import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    MalformedRow,
    decode_configuration,
    decode_evacuated_domain,
)
from ..platform.endpoint_row import ENDPOINT_TABLE
from ..platform.store import StoreClient
from ..platform.store_rows import HistoryLost, Row, StoreUnavailable, TableRows
from .endpoint_rows import change_endpoint_rows, replace_endpoint_rows
from .evacuating import apply_evacuations, update_evacuations
from .state import EntryState
from .supervision import supervise

_log = get_logger(__name__)
#: Time after which an instance that does not follow checks again whether it should.
_FOLLOWER_CHECK_SECONDS = 0.05
#: Pause after a change of the endpoints, so that the next call returns several changes at once.
_BATCH_SECONDS = 0.2
#: Pause before the next call if the one before made no progress.
_PAUSE_SECONDS = 0.1
#: Greatest pause after the first refusal of a call; it doubles with each further one, up to
#: `RETRY_SECONDS`.
_FIRST_PAUSE_SECONDS = 0.1
#: Parts of a pause, and of the time between two calls about a lost table, that are drawn, so that
#: instances which lost the store at the same time do not call it at the same times.
_PAUSE_PARTS = (0.5, 1.0)
_RETRY_PARTS = (0.95, 1.0)

ApplyRows = Callable[[Sequence[Row], bool, StoreVersion], None]


@attrs.define(frozen=True)
class FollowedTable:
    """How one table is followed.

    Attributes:
        table: Name of the table.
        apply: Applies rows; gets them, whether they are the full table, and their version.
        batch_seconds: Pause after a change before the next call.
    """

    table: str
    apply: ApplyRows
    batch_seconds: float = 0.0


class StoreFollower:
    """Reads the tables of configuration and endpoints.

    It follows them only while this instance is one of their followers.
    """

    def __init__(
        self, state: EntryState, store: StoreClient, *, is_follower: Callable[[], bool]
    ) -> None:
        """Prepares to read the tables.

        Args:
            state: State to keep up to date.
            store: Client of the store.
            is_follower: Tells whether this instance follows the tables of configuration and
                endpoints; if not, it learns of changes from the other instances.
        """
        self._state = state
        self._store = store
        self._is_follower = is_follower
        # Tables that the store gives no response about, and the time of a call about each; its
        # further ones follow every `RETRY_SECONDS`.
        self._lost_tables: dict[str, float] = {}
        self._regained = trio.Event()
        self._followed: set[str] = set()

    async def run(self) -> None:
        """Reads the tables, and follows them whenever it should, until cancelled."""
        async with trio.open_nursery() as nursery:
            for followed in (
                FollowedTable(CONFIGURATION_TABLE, self._apply_configuration),
                FollowedTable(ENDPOINT_TABLE, self._apply_endpoints, batch_seconds=_BATCH_SECONDS),
            ):
                follow = partial(self._follow, followed)
                nursery.start_soon(supervise, follow, 'follow {0}'.format(followed.table))

    async def _follow(self, followed: FollowedTable) -> None:
        """Reads a table, and follows it whenever this instance is one of its followers."""
        table = followed.table
        version: StoreVersion | None = None
        pause = _FIRST_PAUSE_SECONDS
        while True:
            # Other instances can report a newer era before the store responds to this one.
            self._store.update_era(self._state.members_version.era)
            if version is not None and not self._is_follower():
                self._record_following(table, version, is_followed=False)
                self._state.table_ages.record_doubt(table)
                await trio.sleep(_FOLLOWER_CHECK_SECONDS)
                continue
            self._record_following(table, version, is_followed=True)
            started = trio.current_time()
            retry_seconds = self._choose_retry(table, started)
            try:
                version = await self._read_or_wait(followed, version, retry_seconds)
            except StoreUnavailable as error:
                self._record_outage(table, error, started)
                seconds = min(pause * self._draw(_PAUSE_PARTS), retry_seconds or RETRY_SECONDS)
                await self._wait_to_retry(table, started + seconds)
                pause = min(pause * 2, RETRY_SECONDS / _PAUSE_PARTS[0])
                continue
            pause = _FIRST_PAUSE_SECONDS

    def _draw(self, parts: tuple[float, float]) -> float:
        return self._state.rng.uniform(*parts)

    def _choose_retry(self, table: str, now: float) -> float | None:
        """Returns the seconds until a call about a lost table is repeated; None if it is not."""
        if table not in self._lost_tables:
            return None
        others = (at for name, at in self._lost_tables.items() if name != table)
        seconds = choose_retry(now, next(others, None)) * self._draw(_RETRY_PARTS)
        self._lost_tables[table] = now + seconds
        return seconds

    async def _wait_to_retry(self, table: str, until: float) -> None:
        """Waits before the next call about a lost table, but not once another one is regained."""
        seconds = max(until - trio.current_time(), 0)
        _log.info('store_call_waits', table=table, seconds=round(seconds, 3))
        with trio.move_on_after(seconds):
            await self._regained.wait()

    async def _read_or_wait(
        self,
        followed: FollowedTable,
        version: StoreVersion | None,
        retry_seconds: float | None,
    ) -> StoreVersion | None:
        """Reads a table in full if no version is known, otherwise waits for changes of it.

        Args:
            followed: The table.
            version: Version up to which it is known; None before the first read.
            retry_seconds: Time until the call is repeated if the table is lost, None otherwise.

        Returns:
            The new version; None if the table must be read in full again.
        """
        table = followed.table
        on_overdue = partial(self._record_overdue, table)
        if version is None:
            snapshot = await self._store.read_table(
                table, retry_seconds=retry_seconds, on_overdue=on_overdue
            )
            self._record_read(table, snapshot)
            followed.apply(snapshot.rows, True, snapshot.version)
            return snapshot.version
        ages = self._state.table_ages
        changes = await self._store.follow_table(
            table,
            version,
            may_wait=not ages.is_in_doubt(table),
            retry_seconds=retry_seconds,
            may_repeat=self._is_follower,
            on_overdue=on_overdue,
        )
        if isinstance(changes, HistoryLost):
            _log.info('history_lost', table=table, version=str(version))
            # A store that loses its history again and again is not asked without a pause, nor is
            # one that responds at once without a newer version.
            await trio.sleep(_PAUSE_SECONDS)
            return None
        self._record_read(table, changes)
        if changes.rows:
            followed.apply(changes.rows, False, changes.version)
            await trio.sleep(followed.batch_seconds)
        if changes.version <= version:
            await trio.sleep(_PAUSE_SECONDS)
        return changes.version

    def _record_following(
        self, table: str, version: StoreVersion | None, *, is_followed: bool
    ) -> None:
        """Logs when this instance begins or ceases to ask the store about a table."""
        if is_followed == (table in self._followed):
            return
        self._followed ^= {table}
        _log.info(
            'store_follow_began' if is_followed else 'store_follow_ended',
            table=table,
            version=str(version),
            age=self._get_age(table),
        )

    def _get_age(self, table: str) -> float:
        """Returns the age of what is known of a table in seconds, for the log."""
        return round(self._state.table_ages.get_age(table, trio.current_time()), 3)

    def _record_read(self, table: str, read: TableRows) -> None:
        """Records that the store returned a table, or its changes, up to a version."""
        age = self._get_age(table)
        self._state.table_ages.record_read(table, read.version, read.as_of)
        if table not in self._lost_tables:
            return
        self._lost_tables.pop(table)
        # The outage has lasted until now.
        self._state.members.record_outage(trio.current_time())
        self._regained.set()
        self._regained = trio.Event()
        _log.info('store_regained', table=table, version=str(read.version), age=age)

    def _record_overdue(self, table: str) -> None:
        """Records that a response about a table is overdue."""
        self._state.table_ages.record_doubt(table)
        if table in self._lost_tables:
            self._state.members.record_outage(trio.current_time())

    def _record_outage(self, table: str, error: StoreUnavailable, started: float) -> None:
        """Records that the store did not respond for a table, and logs the first time."""
        now = trio.current_time()
        self._state.members.record_outage(now)
        # Reports then state that the store does not respond, so that others follow in its place.
        self._state.table_ages.record_doubt(table)
        seconds, age = round(now - started, 3), self._get_age(table)
        if table in self._lost_tables:
            _log.info('store_still_lost', table=table, reason=str(error), seconds=seconds, age=age)
            return
        self._lost_tables[table] = now
        _log.warning('store_lost', table=table, reason=str(error), seconds=seconds, age=age)

    def _apply_configuration(
        self, rows: Sequence[Row], is_full_table: bool, version: StoreVersion
    ) -> None:
        self._apply_evacuations(rows, is_full_table, version)
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.content is None:
                continue
            try:
                configuration = decode_configuration(row.content)
            except MalformedRow as error:
                _log.error(
                    'configuration_malformed', reason=str(error), store_version=str(version)
                )
                continue
            self._state.apply_configuration(configuration, row.content, 'store')

    def _apply_evacuations(
        self, rows: Sequence[Row], is_full_table: bool, version: StoreVersion
    ) -> None:
        # The last row of a failure domain counts; one without content was removed.
        by_domain = {
            domain: row.content
            for row in rows
            if (domain := decode_evacuated_domain(row.key)) is not None
        }
        removed = {domain for domain, content in by_domain.items() if content is None}
        added = by_domain.keys() - removed
        state = self._state
        if is_full_table:
            listed = EvacuationList(version=version, domains=frozenset(added))
            apply_evacuations(state, listed, 'store')
            return
        now = trio.current_time()
        if state.candidates.evacuations.change(version, added=added, removed=removed, now=now):
            update_evacuations(state, 'store')

    def _apply_endpoints(
        self, rows: Sequence[Row], is_full_table: bool, version: StoreVersion
    ) -> None:
        if not is_full_table:
            change_endpoint_rows(self._state, rows, version.era)
            return
        if version >= self._state.members_version:
            known = {row.key: row.content for row in rows if row.content is not None}
            replace_endpoint_rows(self._state, known, version)
