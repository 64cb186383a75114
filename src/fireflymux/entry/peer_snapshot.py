"""Exchanges snapshots of the store's tables between entry instances.

Reports tell each instance which versions of the tables the others know. One that is behind, since
it does not follow the store or cannot reach it, fetches a snapshot by HTTP from an instance that
knows more. The tables in a snapshot are as the store returned them to some instance, so they can
be applied like its own responses. A snapshot also names the endpoints that are known to be leaving
and the known instances, which come from responses, reports and other snapshots as well.
"""

from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs

import attrs
import orjson
import trio

from .._messages_generated import EntrySnapshot
from ..bounded_values import MAXIMUM_INTEGER, is_ipv4_address, parse_integer
from ..decisions.evacuations import EvacuationList
from ..decisions.store_version import StoreVersion
from ..http.messages import Request
from ..http.response_writer import ResponseWriter
from ..observability.logs import get_logger
from ..platform.configuration_row import MalformedRow, decode_configuration
from .endpoint_rows import replace_endpoint_rows
from .endpoint_wishes import mark_leaving
from .evacuating import apply_evacuations
from .peer_link import PeerLink
from .snapshot_client import (
    CONFIG_KEY,
    ERA_KEY,
    EVACUATIONS_KEY,
    MEMBERS_KEY,
    SNAPSHOT_PATH,
    fetch_snapshot,
)
from .state import EntryState

_log = get_logger(__name__)
_POLL_SECONDS = 0.1
#: Time that the store has to deliver a change to a follower before it is fetched from a peer.
_FETCH_DELAY_SECONDS = 0.25
#: Time that a host has to answer until the next one is asked beside it.
_NEXT_HOST_SECONDS = 0.25
#: Time for which a host that did not answer is asked after the others.
_UNANSWERED_SECONDS = 10.0
#: Rounds in which an instance that starts asks others: in the first all that it knows of, in each
#: further one those that snapshots of the round before have named and that were not asked yet.
_DISCOVERY_ROUNDS = 2
#: Version assumed if the requesting instance did not state one; lower than any real one.
_UNSTATED_VERSION = -1
#: Fields of a snapshot that state the evacuations.
_EVACUATION_FIELDS = ('evacuated', 'op_era', 'op_version')
_OK = 200
_NOT_FOUND = 404


class PeerSnapshots:
    """Serves snapshots to other instances, and fetches them while another one knows more."""

    def __init__(self, state: EntryState, link: PeerLink) -> None:
        """Prepares to serve and fetch snapshots.

        Args:
            state: State of the instance.
            link: Reports of the other instances.
        """
        self._state = state
        self._link = link
        self._behind_since: float | None = None
        # Hosts that have not given the snapshot that they were last asked for, and when that was.
        self._unanswered: dict[str, float] = {}

    async def handle_request(self, request: Request, writer: ResponseWriter) -> None:
        """Handles another instance's request for a snapshot.

        Args:
            request: The request.
            writer: Writes the response.
        """
        if request.path != SNAPSHOT_PATH:
            await writer.answer(_NOT_FOUND, (), b'')
            return
        query = parse_qs(request.query.decode('latin-1'))
        fields = attrs.asdict(self._build_snapshot(query), recurse=False)
        for name in () if EVACUATIONS_KEY in query else _EVACUATION_FIELDS:
            fields.pop(name)
        await writer.answer(_OK, (), orjson.dumps(fields))

    async def run(self) -> None:
        """Fetches snapshots whenever this instance is behind, until cancelled."""
        while True:
            await trio.sleep(_POLL_SECONDS)
            hosts = self._list_fetch_hosts()
            if not hosts:
                self._behind_since = None
                continue
            now = trio.current_time()
            if self._behind_since is None:
                self._behind_since = now
            if now - self._behind_since < self._get_fetch_delay():
                continue
            if self._has_tables():
                await self._fetch(hosts)
            else:
                await self._fetch_first()

    def _build_snapshot(self, query: Mapping[str, list[str]]) -> EntrySnapshot:
        """Builds a snapshot without the tables that the requesting instance has already."""
        state = self._state
        has_config = _parse_version(query, CONFIG_KEY) >= state.configuration_version
        known_members = StoreVersion(
            _parse_version(query, ERA_KEY), _parse_version(query, MEMBERS_KEY)
        )
        rows = {} if known_members >= state.members_version else state.member_rows
        evacuations = state.candidates.evacuations.newest
        return EntrySnapshot(
            config_row='' if has_config else state.configuration_row.decode(),
            config_version=state.configuration_version,
            members={name: row.decode() for name, row in rows.items()},
            members_era=state.members_version.era,
            members_version=state.members_version.number,
            leaving=state.members.list_leaving(),
            instances=state.instances | {state.settings.name: state.host},
            evacuated=sorted(evacuations.domains),
            op_era=evacuations.version.era,
            op_version=evacuations.version.number,
        )

    def _list_fetch_hosts(self) -> list[str]:
        """Lists hosts to fetch from: those that know newer tables; all while one is missing."""
        state = self._state
        if not self._has_tables():
            return self._link.list_hosts()
        return [
            host
            for host, heard in self._link.heard.items()
            if self._link.is_heard(host)
            and (
                heard.report.config_version > state.configuration_version
                or heard.members_version > state.members_version
            )
        ]

    def _get_fetch_delay(self) -> float:
        """Returns how long the store gets to deliver what others know already, in seconds.

        An instance that does not follow the store, or gets no response, has nothing to wait for.
        """
        ages = self._state.table_ages
        is_answered = ages.find_stated_age(trio.current_time()) is not None
        if self._has_tables() and not (is_answered and self._link.is_store_follower()):
            return 0
        return _FETCH_DELAY_SECONDS

    def _order_hosts(self, hosts: list[str]) -> list[str]:
        """Orders hosts: those that did not answer come last, and neighbours before others."""
        near = set(self._link.list_neighbours())
        oldest = trio.current_time() - _UNANSWERED_SECONDS
        self._unanswered = {host: at for host, at in self._unanswered.items() if at > oldest}
        shuffled = self._state.rng.sample(hosts, len(hosts))
        return sorted(shuffled, key=lambda host: (host in self._unanswered, host not in near))

    def _has_tables(self) -> bool:
        """Tells whether the instance has a configuration and a list of endpoints."""
        return self._state.configuration is not None and self._state.has_endpoint_list

    async def _fetch(self, hosts: list[str]) -> None:
        """Asks hosts in turn until one gives a snapshot; those asked before may still do so."""
        async with trio.open_nursery() as nursery:
            for host in self._order_hosts(hosts):
                failed = trio.Event()
                nursery.start_soon(self._ask, host, nursery.cancel_scope, failed)
                with trio.move_on_after(_NEXT_HOST_SECONDS):
                    await failed.wait()

    async def _ask(self, host: str, scope: trio.CancelScope, failed: trio.Event) -> None:
        """Applies the snapshot of a host and ends the fetch, or tells that there is none."""
        self._unanswered[host] = trio.current_time()
        snapshot = await fetch_snapshot(self._state, host)
        if snapshot is None:
            failed.set()
            return
        self._unanswered.pop(host, None)
        self._apply(snapshot, host)
        scope.cancel()

    async def _fetch_first(self) -> None:
        """Fetches snapshots from all instances, and applies the newest version of each table.

        Some instances may be behind, and one that starts must not serve with older tables than
        others have. The snapshots also name instances that this one did not know of. Those named
        in the first round are asked in a second one.
        """
        asked: set[str] = set()
        snapshots: dict[str, EntrySnapshot] = {}
        hosts = set(self._link.list_hosts())
        for _ in range(_DISCOVERY_ROUNDS):
            asked |= hosts
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(self._collect, host, snapshots)
            hosts = _list_named_hosts(snapshots.values()) - asked - {self._state.host}
        # No checkpoint in between, so that no request is handled with an older snapshot.
        for source, snapshot in snapshots.items():
            self._apply(snapshot, source)

    async def _collect(self, host: str, snapshots: dict[str, EntrySnapshot]) -> None:
        """Adds the snapshot of an instance to those found, if it can be fetched."""
        snapshot = await fetch_snapshot(self._state, host)
        if snapshot is not None:
            snapshots[host] = snapshot

    def _apply(self, snapshot: EntrySnapshot, host: str) -> None:
        """Applies what a snapshot holds that is newer than the state."""
        state = self._state
        if snapshot.config_version > state.configuration_version:
            self._apply_configuration(snapshot.config_row.encode(), host)
        mark_leaving(state, snapshot.leaving, host)
        evacuations = EvacuationList(
            version=StoreVersion(snapshot.op_era, snapshot.op_version),
            domains=frozenset(snapshot.evacuated),
        )
        apply_evacuations(state, evacuations, host)
        version = StoreVersion(snapshot.members_era, snapshot.members_version)
        if version > state.members_version:
            rows = {name: content.encode() for name, content in snapshot.members.items()}
            _log.info('endpoints_from_peer', host=host, version=str(version))
            replace_endpoint_rows(state, rows, version)
        for name, address in snapshot.instances.items():
            if name and name != state.settings.name and is_ipv4_address(address):
                state.instances.setdefault(name, address)

    def _apply_configuration(self, row: bytes, host: str) -> None:
        try:
            configuration = decode_configuration(row)
        except MalformedRow as error:
            _log.warning('snapshot_malformed', host=host, reason=repr(error))
            return
        self._state.apply_configuration(configuration, row, host)


def _list_named_hosts(snapshots: Iterable[EntrySnapshot]) -> set[str]:
    """Returns the IPv4 addresses of the instances that snapshots name."""
    named: set[str] = set()
    for snapshot in snapshots:
        named.update(filter(is_ipv4_address, snapshot.instances.values()))
    return named


def _parse_version(query: Mapping[str, list[str]], key: str) -> int:
    """Returns a number from the parsed query of a request."""
    stated = parse_integer(query.get(key, ('',))[0].encode(), maximum=MAXIMUM_INTEGER)
    return _UNSTATED_VERSION if stated is None else stated
