"""Tracks the sidecars and the other routers that a router communicates with.

The platform's live list names the processes that exist. For each sidecar that it selects from
the list, a router runs a task that exchanges heartbeats: they carry the router's reservations
there, and the sidecar's state and free slots back.
"""

import random

import attrs
import httpx
import trio

from ..decisions.crash_registry import CrashRegistry
from ..decisions.service_totals import ServiceTotals
from ..messages import Heartbeat, HeartbeatReply, LiveInstance
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..store.configuration import Configuration
from ..store.platform_client import LiveListClient, PlatformError
from ..web.http_clients import FLEET_REQUEST_TIMEOUT_SECONDS, FleetClients
from ..wire import codec, headers
from ..wire.totals_table import pack_totals, unpack_totals
from ..wire.control_bytes import count_control_bytes
from .backlog import Backlog
from .sidecar_peer import SidecarPeer
from .sidecar_selection import select_sidecars

_log = get_logger(__name__)
#: Consecutive unanswered heartbeats after which a sidecar is considered down.
_MISSED_HEARTBEATS_UNTIL_DOWN = 3
#: Maximum number of sidecars that `trigger_heartbeats` chooses.
_MAXIMUM_EARLY_HEARTBEATS = 2
#: Minimum interval between two heartbeats to a sidecar that is up.
_MINIMUM_HEARTBEAT_INTERVAL_SECONDS = 0.02
#: Minimum interval between two heartbeats to a sidecar that is down.
_MINIMUM_HEARTBEAT_RETRY_SECONDS = 0.25


@attrs.define(frozen=True, kw_only=True)
class PeerContext:
    """Objects and settings that a peer directory uses.

    Attributes:
        router_id: Incarnation of this router.
        fleet_clients: HTTP clients for the sidecars.
        live_list: Client for the platform's live list.
        configuration: Replica of the configuration.
        totals: Service totals of all sidecars, exchanged in heartbeats.
        crashes: Verdicts on requests that ran when an endpoint crashed, exchanged in heartbeats.
        backlog: Waiting requests.
        metrics: Metrics of the process.
        rng: Random source for choosing sidecars and spreading exchanges.
        heartbeat_interval_seconds: Time between two heartbeats to one sidecar.
        totals_interval_seconds: Time after which an exchange of service totals with one sidecar is
            due at the latest; it takes place with the next heartbeat.
        live_poll_interval_seconds: Time between two reads of the live list.
        fanout: Sidecars of each pool that a router selects at least, if the pool has as many.
        routers_per_sidecar: Routers that select each sidecar at least.
    """

    router_id: str
    fleet_clients: FleetClients
    live_list: LiveListClient
    configuration: Configuration
    totals: ServiceTotals
    crashes: CrashRegistry
    backlog: Backlog
    metrics: Metrics
    rng: random.Random
    heartbeat_interval_seconds: float
    totals_interval_seconds: float
    live_poll_interval_seconds: float
    fanout: int
    routers_per_sidecar: int


class PeerDirectory:
    """The sidecars that a router selected, and the other routers of the live list.

    A peer is one of the sidecars; of the routers only the entries in the live list are kept.
    """

    def __init__(self, context: PeerContext) -> None:
        """Creates an empty directory, which `run` fills.

        Args:
            context: Objects and settings to use.
        """
        self._context = context
        self._address = ''
        self._peers: dict[str, SidecarPeer] = {}
        self._listed_pools: set[str] = set()
        self._listed_addresses: set[str] = set()
        self._routers: dict[str, LiveInstance] = {}

    @property
    def router_addresses(self) -> list[str]:
        """URLs of the other routers."""
        return [url for url in self._routers if url != self._address]

    @property
    def pools(self) -> set[str]:
        """Pools with at least one sidecar that is in the live list or still selected."""
        return self._listed_pools | {peer.instance.pool for peer in self._peers.values()}

    def find(self, address: str) -> SidecarPeer | None:
        """Returns the sidecar with a URL, or None."""
        return self._peers.get(address)

    def list_sidecars(self, pool: str) -> list[SidecarPeer]:
        """Returns the selected sidecars of a pool."""
        return [peer for peer in self._peers.values() if peer.instance.pool == pool]

    def is_sidecar_up(self, sidecar_id: str) -> bool:
        """Tells whether the sidecar process with an ID is up.

        Only the sidecars that this router selected are known; any other counts as not up.
        """
        return any(peer.sidecar_id == sidecar_id and peer.is_up for peer in self._peers.values())

    def may_report(self, reporter: str) -> bool:
        """Tells whether the sidecar with a reporter name is in the live list or selected."""
        address = reporter.rpartition('@')[2]
        return address in self._listed_addresses or address in self._peers

    def accepts_work(self, peer: SidecarPeer) -> bool:
        """Tells whether a sidecar may be sent new requests.

        It may not if it reported that it is leaving, if the live list says so, or if the
        configuration announces that its endpoint is leaving.
        """
        if not peer.is_up or peer.is_leaving or peer.instance.leaving:
            return False
        return not self._context.configuration.is_leaving(peer.endpoint)

    def trigger_heartbeats(self, pool: str) -> None:
        """Makes the heartbeats to a few sidecars of a pool due now.

        The task of each sidecar sends them, with the reservations of the pool at that time. The
        other sidecars get the reservations with their next regular heartbeat, or in the reply to
        their next grant offer.
        """
        available = [peer for peer in self.list_sidecars(pool) if self.accepts_work(peer)]
        selected = self._context.rng.sample(
            available, min(len(available), _MAXIMUM_EARLY_HEARTBEATS)
        )
        for peer in selected:
            peer.heartbeat_due.set()

    def trigger_all_heartbeats(self) -> None:
        """Makes the heartbeats to all sidecars due now."""
        for peer in self._peers.values():
            peer.heartbeat_due.set()

    async def run(self, address: str) -> None:
        """Polls the live list, and exchanges heartbeats with sidecars, until cancelled.

        Args:
            address: URL of this router.
        """
        self._address = address
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    self._apply_live_list(await self._context.live_list.read(), nursery)
                except PlatformError as error:
                    _log.debug('live_list_unavailable', reason=str(error))
                await trio.sleep(self._context.live_poll_interval_seconds)

    def _apply_live_list(self, entries: list[LiveInstance], nursery: trio.Nursery) -> None:
        self._routers = {item.address: item for item in entries if item.role == 'router'}
        listed = [item for item in entries if item.role == 'sidecar']
        self._listed_pools = {item.pool for item in listed}
        self._listed_addresses = {item.address for item in listed}
        selected = select_sidecars(
            listed,
            router=self._address,
            other_routers=self.router_addresses,
            fanout=self._context.fanout,
            routers_per_sidecar=self._context.routers_per_sidecar,
        )
        sidecars = {item.address: item for item in selected}
        for address, entry in sidecars.items():
            if address in self._peers:
                self._peers[address].instance = entry
                continue
            peer = SidecarPeer(entry)
            self._peers[address] = peer
            nursery.start_soon(self._run_heartbeats, peer)
        # The list may be out of date, so a sidecar is kept as long as it replies.
        for address in set(self._peers) - set(sidecars):
            if not self._peers[address].is_up:
                self._peers.pop(address).task_scope.cancel()
                nursery.start_soon(self._context.fleet_clients.close, address)

    async def _run_heartbeats(self, peer: SidecarPeer) -> None:
        with peer.task_scope:
            while True:
                started = trio.current_time()
                peer.heartbeat_due = trio.Event()
                await self._send_heartbeat(peer)
                minimum_interval = (
                    _MINIMUM_HEARTBEAT_INTERVAL_SECONDS
                    if peer.is_up
                    else _MINIMUM_HEARTBEAT_RETRY_SECONDS
                )
                await trio.sleep_until(started + minimum_interval)
                with trio.move_on_at(started + self._context.heartbeat_interval_seconds):
                    await peer.heartbeat_due.wait()

    async def _send_heartbeat(self, peer: SidecarPeer) -> None:
        heartbeat = self._build_heartbeat(peer)
        content = codec.encode(heartbeat)
        try:
            response = await self._context.fleet_clients.to(peer.address).post(
                '{0}/v1/heartbeat'.format(peer.address),
                content=content,
                headers={'Content-Type': headers.JSON},
                timeout=FLEET_REQUEST_TIMEOUT_SECONDS,
            )
            response.raise_for_status()
            reply = codec.decode(response.content, HeartbeatReply)
        except (httpx.HTTPError, codec.DecodeError) as error:
            self._record_miss(peer, repr(error))
            return
        self._context.metrics.heartbeats.inc({'result': 'answered'})
        count_control_bytes(self._context.metrics, response)
        if heartbeat.totals is not None:
            # Due after 80 to 100 percent of the interval, to spread the exchanges.
            interval = self._context.totals_interval_seconds
            peer.totals_due_at = trio.current_time() + interval * self._context.rng.uniform(
                0.8, 1.0
            )
        self._apply_reply(peer, reply)

    def _build_heartbeat(self, peer: SidecarPeer) -> Heartbeat:
        pool = peer.instance.pool
        peer.sequence += 1
        accepts_work = self.accepts_work(peer)
        totals = None
        if trio.current_time() >= peer.totals_due_at:
            totals = pack_totals(self._context.totals.sum_without(peer.reporter, pool))
        return Heartbeat(
            router=self._context.router_id,
            address=self._address,
            config_version=self._context.configuration.version,
            sequence=peer.sequence,
            reservations=self._context.backlog.count_reservations(pool) if accepts_work else {},
            totals=totals,
            verdicts=self._context.crashes.list_verdicts(),
        )

    def _apply_reply(self, peer: SidecarPeer, reply: HeartbeatReply) -> None:
        peer.missed_heartbeats = 0
        if not peer.is_up or peer.sidecar_id != reply.sidecar:
            # The sidecar came up or restarted: service totals are exchanged at once.
            _log.info('sidecar_up', address=peer.address, sidecar=reply.sidecar)
            # `reporter` contains the old `sidecar_id`, which is only replaced below.
            self._context.totals.forget_outstanding(peer.reporter)
            peer.totals_due_at = float('-inf')
            peer.heartbeat_due.set()
        peer.is_up = True
        peer.sidecar_id = reply.sidecar
        peer.endpoint = reply.endpoint
        peer.is_leaving = reply.leaving
        peer.free_slots = reply.free_slots
        if self._context.crashes.merge(reply.verdicts):
            self.trigger_all_heartbeats()
        if reply.totals is not None:
            totals = unpack_totals(reply.totals, peer.instance.pool)
            self._context.totals.merge(peer.reporter, totals)

    def _record_miss(self, peer: SidecarPeer, reason: str) -> None:
        self._context.metrics.heartbeats.inc({'result': 'missed'})
        peer.missed_heartbeats += 1
        peer.free_slots = 0
        if peer.missed_heartbeats < _MISSED_HEARTBEATS_UNTIL_DOWN or not peer.is_up:
            return
        peer.is_up = False
        self._context.totals.forget_outstanding(peer.reporter)
        _log.warning('sidecar_down', address=peer.address, reason=reason)
        for scope in list(peer.transfer_scopes):
            scope.cancel()
