"""Sidecars that a router talks to: one task and one heartbeat loop for each."""

import hashlib
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
from ..web.links import LINK_TIMEOUT_SECONDS, LinkClients
from ..wire import codec, headers
from ..wire.totals_table import pack_totals, unpack_totals
from ..wire.wire_size import received_bytes, sent_bytes
from .backlog import Backlog

_log = get_logger(__name__)
#: Heartbeats in a row without answer after which a sidecar counts as down.
_MISSES_TO_DOWN = 3
#: Sidecars that hear of a new backlog at once.
_NOTIFIED_PEERS = 2
_FAST_HEARTBEAT_SECONDS = 0.02
_FAILED_HEARTBEAT_DELAY_SECONDS = 0.25


@attrs.define(eq=False)
class Peer:
    """One sidecar as this router knows it.

    Attributes:
        instance: Its entry in the live list.
        sidecar: Its incarnation; empty before its first answer.
        endpoint: Name of its endpoint.
        free_slots: Its free slots less the direct attempts since its last answer.
        is_leaving: Whether it takes no new work.
        is_up: Whether it answers heartbeats.
        totals_due: Time of the next exchange of service totals in seconds.
        scopes: Transfers to cancel when it goes down.
    """

    instance: LiveInstance
    sidecar: str = ''
    endpoint: str = ''
    free_slots: int = 0
    is_leaving: bool = False
    is_up: bool = False
    sequence: int = 0
    misses: int = 0
    totals_due: float = float('-inf')
    changed: trio.Event = attrs.field(factory=trio.Event)
    scopes: set[trio.CancelScope] = attrs.field(factory=set)
    task: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def address(self) -> str:
        """URL of the sidecar."""
        return self.instance.address

    @property
    def reporter(self) -> str:
        """Name of its reports, from which `Peers.may_report` reads the address."""
        return '{0}@{1}'.format(self.sidecar, self.address)


@attrs.define(frozen=True, kw_only=True)
class PeerParts:
    """What the peers of a router share."""

    router: str
    links: LinkClients
    live: LiveListClient
    configuration: Configuration
    totals: ServiceTotals
    crashes: CrashRegistry
    backlog: Backlog
    metrics: Metrics
    rng: random.Random
    heartbeat_seconds: float
    totals_seconds: float
    live_poll_seconds: float
    fanout: int
    fanin: int


class Peers:
    """All sidecars and the other routers of the live list."""

    def __init__(self, parts: PeerParts) -> None:
        """Starts with no peer.

        Args:
            parts: What the peers share.
        """
        self._parts = parts
        self._address = ''
        self._peers: dict[str, Peer] = {}
        self._pools: set[str] = set()
        self._listed: set[str] = set()
        self._routers: dict[str, LiveInstance] = {}

    @property
    def router_addresses(self) -> list[str]:
        """URLs of the other routers."""
        return [url for url in self._routers if url != self._address]

    @property
    def pools(self) -> set[str]:
        """Pools that have a sidecar."""
        return self._pools | {peer.instance.pool for peer in self._peers.values()}

    def find(self, address: str) -> Peer | None:
        """Finds a sidecar by its URL."""
        return self._peers.get(address)

    def of_pool(self, pool: str) -> list[Peer]:
        """Lists the sidecars of a pool."""
        return [peer for peer in self._peers.values() if peer.instance.pool == pool]

    def is_known_writer(self, sidecar: str) -> bool:
        """Tells whether a sidecar incarnation is up."""
        return any(peer.sidecar == sidecar and peer.is_up for peer in self._peers.values())

    def may_report(self, reporter: str) -> bool:
        """Tells whether the sidecar behind a report is in the live list or answers."""
        address = reporter.rpartition('@')[2]
        return address in self._listed or address in self._peers

    def may_work(self, peer: Peer) -> bool:
        """Tells whether a sidecar may be given new work."""
        if not peer.is_up or peer.is_leaving or peer.instance.leaving:
            return False
        return not self._parts.configuration.is_leaving(peer.endpoint)

    def notify(self, pool: str) -> None:
        """Sends the reservations of a pool to a few of its sidecars soon.

        The others hear of them with their next heartbeat or their next offer.
        """
        workers = [peer for peer in self.of_pool(pool) if self.may_work(peer)]
        sample = self._parts.rng.sample(workers, min(len(workers), _NOTIFIED_PEERS))
        for peer in sample:
            peer.changed.set()

    def notify_all(self) -> None:
        """Sends a heartbeat to every sidecar soon."""
        for peer in self._peers.values():
            peer.changed.set()

    async def run(self, address: str) -> None:
        """Follows the live list until cancelled.

        Args:
            address: URL of this router.
        """
        self._address = address
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    self._update(await self._parts.live.read(), nursery)
                except (PlatformError, codec.DecodeError) as error:
                    _log.debug('live_list_unavailable', reason=str(error))
                await trio.sleep(self._parts.live_poll_seconds)

    def _update(self, entries: list[LiveInstance], nursery: trio.Nursery) -> None:
        self._routers = {item.address: item for item in entries if item.role == 'router'}
        listed = [item for item in entries if item.role == 'sidecar']
        self._pools = {item.pool for item in listed}
        self._listed = {item.address for item in listed}
        sidecars = {item.address: item for item in self._choose(listed)}
        for address, entry in sidecars.items():
            if address in self._peers:
                self._peers[address].instance = entry
                continue
            peer = Peer(entry)
            self._peers[address] = peer
            nursery.start_soon(self._follow, peer)
        # The list lags: a sidecar that still answers stays, whatever the list says.
        for address in set(self._peers) - set(sidecars):
            if not self._peers[address].is_up:
                self._peers.pop(address).task.cancel()
                nursery.start_soon(self._parts.links.drop, address)

    def _choose(self, listed: list[LiveInstance]) -> list[LiveInstance]:
        """Chooses the sidecars to talk to by rendezvous hashing, so that few change.

        A router follows the first sidecars of each pool in its own ranking, so that it
        reaches every pool, and each sidecar in whose ranking it is among the first routers,
        so that no sidecar is left without routers.
        """
        ranked = sorted(listed, key=lambda item: _rank(self._address, item.address))
        counts: dict[str, int] = {}
        chosen = []
        for entry in ranked:
            counts[entry.pool] = counts.get(entry.pool, 0) + 1
            if counts[entry.pool] <= self._parts.fanout or self._is_among_first(entry.address):
                chosen.append(entry)
        return chosen

    def _is_among_first(self, sidecar: str) -> bool:
        mine = _rank(self._address, sidecar)
        ahead = sum(1 for url in self.router_addresses if _rank(url, sidecar) < mine)
        return ahead < self._parts.fanin

    async def _follow(self, peer: Peer) -> None:
        with peer.task:
            while True:
                started = trio.current_time()
                peer.changed = trio.Event()
                await self._beat(peer)
                shortest = (
                    _FAST_HEARTBEAT_SECONDS if peer.is_up else _FAILED_HEARTBEAT_DELAY_SECONDS
                )
                await trio.sleep_until(started + shortest)
                with trio.move_on_at(started + self._parts.heartbeat_seconds):
                    await peer.changed.wait()

    async def _beat(self, peer: Peer) -> None:
        heartbeat = self._build_heartbeat(peer)
        content = codec.encode(heartbeat)
        try:
            response = await self._parts.links.to(peer.address).post(
                '{0}/v1/heartbeat'.format(peer.address),
                content=content,
                headers={'Content-Type': headers.JSON},
                timeout=LINK_TIMEOUT_SECONDS,
            )
            response.raise_for_status()
            reply = codec.decode(response.content, HeartbeatReply)
        except (httpx.HTTPError, codec.DecodeError) as error:
            self._miss(peer, repr(error))
            return
        self._parts.metrics.heartbeats.inc({'result': 'answered'})
        self._parts.metrics.control_bytes.add({'direction': 'sent'}, sent_bytes(response))
        self._parts.metrics.control_bytes.add({'direction': 'received'}, received_bytes(response))
        if heartbeat.totals is not None:
            interval = self._parts.totals_seconds
            peer.totals_due = trio.current_time() + interval * self._parts.rng.uniform(0.8, 1.0)
        self._accept(peer, reply)

    def _build_heartbeat(self, peer: Peer) -> Heartbeat:
        pool = peer.instance.pool
        peer.sequence += 1
        may_work = self.may_work(peer)
        totals = None
        if trio.current_time() >= peer.totals_due:
            totals = pack_totals(self._parts.totals.sum_without(peer.reporter, pool))
        return Heartbeat(
            router=self._parts.router,
            address=self._address,
            config_version=self._parts.configuration.version,
            sequence=peer.sequence,
            reservations=self._parts.backlog.reservations(pool) if may_work else {},
            totals=totals,
            verdicts=self._parts.crashes.list_verdicts(),
        )

    def _accept(self, peer: Peer, reply: HeartbeatReply) -> None:
        peer.misses = 0
        if not peer.is_up or peer.sidecar != reply.sidecar:
            _log.info('sidecar_up', address=peer.address, sidecar=reply.sidecar)
            self._parts.totals.forget_outstanding(peer.reporter)
            peer.totals_due = float('-inf')
            peer.changed.set()
        peer.is_up = True
        peer.sidecar = reply.sidecar
        peer.endpoint = reply.endpoint
        peer.is_leaving = reply.leaving
        peer.free_slots = reply.free_slots
        if self._parts.crashes.merge(reply.verdicts):
            self.notify_all()
        if reply.totals is not None:
            totals = unpack_totals(reply.totals, peer.instance.pool)
            self._parts.totals.merge(peer.reporter, totals)

    def _miss(self, peer: Peer, reason: str) -> None:
        self._parts.metrics.heartbeats.inc({'result': 'missed'})
        peer.misses += 1
        peer.free_slots = 0
        if peer.misses < _MISSES_TO_DOWN or not peer.is_up:
            return
        peer.is_up = False
        self._parts.totals.forget_outstanding(peer.reporter)
        _log.warning('sidecar_down', address=peer.address, reason=reason)
        for scope in list(peer.scopes):
            scope.cancel()


def _rank(router: str, sidecar: str) -> bytes:
    return hashlib.sha256('{0} {1}'.format(router, sidecar).encode()).digest()
