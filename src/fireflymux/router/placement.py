"""Places requests on sidecars.

A request is placed in one of three ways:

- directly, if the sidecar reported a free slot and no request of the account waits;
- by a grant: a sidecar offers a free slot, and a queued request takes it;
- isolated, if it is suspected of crashing endpoints, so that no other request runs beside it.
"""

import random

import trio

from ..errors import CallFailure, ErrorKind
from ..messages import GrantOffer
from .backlog import Backlog, PendingRequest, Placement
from .peers import PeerDirectory
from .sidecar_peer import SidecarPeer

_ISOLATION_POLL_SECONDS = 0.1


class Placer:
    """Places the requests of a router on the sidecars that accept work.

    A placed request counts against the concurrency of its account until `release_concurrency` is
    called.
    """

    def __init__(self, backlog: Backlog, peers: PeerDirectory, *, rng: random.Random) -> None:
        """Creates a placer.

        Args:
            backlog: Waiting requests and free concurrency of the accounts.
            peers: Known sidecars.
            rng: Random source for choosing sidecars.
        """
        self._backlog = backlog
        self._peers = peers
        self._rng = rng

    async def place(
        self,
        pending: PendingRequest,
        *,
        deadline: float,
        is_isolated: bool,
        is_requeued: bool,
    ) -> CallFailure | None:
        """Waits until a request is placed.

        Args:
            pending: The request. Its excluded sidecars are cleared if no other accepts work.
            deadline: Time at which waiting ends, in seconds.
            is_isolated: Whether the request must run alone on its endpoint.
            is_requeued: Whether an earlier attempt failed; the request then waits at the front of
                its queue.

        Returns:
            Why the request was not placed, or None if it was.
        """
        self._reset_exclusions(pending)
        if is_isolated:
            return await self._place_isolated(pending, deadline)
        if self._place_directly(pending):
            return None
        return await self._wait_for_grant(pending, deadline, is_requeued=is_requeued)

    def accept_grant(self, offer: GrantOffer, placement: Placement) -> str:
        """Places a waiting request in the slot that a sidecar offers.

        Args:
            offer: The grant offer. If it names no account, the slot goes to the account with the
                oldest request that may run.
            placement: The sidecar and the ID of the offer.

        Returns:
            The account whose request takes the slot; empty if the offer is declined.
        """
        peer = self._peers.find(placement.address)
        if peer is None or not self._peers.accepts_work(peer):
            return ''
        account = offer.account or self._backlog.oldest_account(offer.pool)
        pending = None
        if account:
            pending = self._backlog.take(offer.pool, account, placement.sidecar_id)
        if pending is None:
            # The number of free slots in an offer leaves out the offered one. After a decline that
            # slot is free too, unless the sidecar offers it to another router: an offer that names
            # an account shows that it knows of waiting requests.
            peer.free_slots = offer.free_slots if offer.account else offer.free_slots + 1
            return ''
        self._backlog.acquire_concurrency(pending.account)
        pending.place(placement)
        return pending.account

    def release_concurrency(self, account: str) -> None:
        """Releases the concurrency that a request used, so that another one may run.

        Args:
            account: Client account of the request.
        """
        self._backlog.release_concurrency(account)
        for pool in self._peers.pools:
            # As in `_wait_for_grant`, one grantable request is reported early.
            if self._backlog.count_grantable(pool, account) == 1:
                self._peers.trigger_heartbeats(pool)

    async def _wait_for_grant(
        self, pending: PendingRequest, deadline: float, *, is_requeued: bool
    ) -> CallFailure | None:
        self._backlog.add(pending, at_front=is_requeued)
        # Heartbeats are sent early only if this is the account's only grantable request or a
        # retried one. Each heartbeat reports all reservations of the pool, so the regular ones
        # report the other requests.
        if self._backlog.count_grantable(pending.pool, pending.account) == 1 or is_requeued:
            self._peers.trigger_heartbeats(pending.pool)
        try:
            with trio.move_on_at(deadline):
                await pending.placed.wait()
        except trio.Cancelled:
            self._abandon(pending)
            raise
        if pending.placement is not None:
            return None
        self._backlog.remove(pending)
        return CallFailure(ErrorKind.queue_timeout)

    def _place_directly(self, pending: PendingRequest) -> bool:
        """Places a request on a sidecar with a free slot, unless others of its account wait.

        Returns:
            Whether it was placed.
        """
        if self._backlog.count_grantable(pending.pool, pending.account):
            return False
        if self._backlog.free_concurrency(pending.account) == 0:
            return False
        peer = self._choose_idle(pending)
        if peer is None:
            return False
        peer.free_slots -= 1
        self._assign(pending, peer)
        return True

    async def _place_isolated(
        self, pending: PendingRequest, deadline: float
    ) -> CallFailure | None:
        """Places a suspect, which must run alone, where no earlier attempt failed.

        The request is not queued; the sidecar accepts it once its endpoint is idle.
        """
        while trio.current_time() < deadline:
            candidates = self._list_candidates(pending)
            if candidates and self._backlog.free_concurrency(pending.account):
                self._assign(pending, max(candidates, key=lambda peer: peer.free_slots))
                return None
            await trio.sleep(_ISOLATION_POLL_SECONDS)
            self._reset_exclusions(pending)
        return CallFailure(ErrorKind.queue_timeout)

    def _choose_idle(self, pending: PendingRequest) -> SidecarPeer | None:
        idle = [peer for peer in self._list_candidates(pending) if peer.free_slots > 0]
        if not idle:
            return None
        # Chooses the better of two random sidecars: routers with the same information would
        # otherwise all choose the same one.
        candidates = self._rng.sample(idle, min(len(idle), 2))
        return max(candidates, key=lambda peer: peer.free_slots)

    def _list_candidates(self, pending: PendingRequest) -> list[SidecarPeer]:
        """Lists the sidecars of the pool that accept work, without the excluded ones."""
        return [
            peer
            for peer in self._list_available(pending.pool)
            if peer.sidecar_id not in pending.excluded_sidecar_ids
        ]

    def _list_available(self, pool: str) -> list[SidecarPeer]:
        return [peer for peer in self._peers.list_sidecars(pool) if self._peers.accepts_work(peer)]

    def _assign(self, pending: PendingRequest, peer: SidecarPeer) -> None:
        self._backlog.acquire_concurrency(pending.account)
        pending.place(Placement(peer.address, peer.sidecar_id))

    def _reset_exclusions(self, pending: PendingRequest) -> None:
        """Clears the exclusions of a request if no other sidecar accepts work."""
        available_ids = [peer.sidecar_id for peer in self._list_available(pending.pool)]
        if pending.excluded_sidecar_ids.issuperset(available_ids):
            pending.excluded_sidecar_ids.clear()

    def _abandon(self, pending: PendingRequest) -> None:
        """Drops a request whose task was cancelled while it waited."""
        self._backlog.remove(pending)
        if pending.placement is not None:
            self.release_concurrency(pending.account)
