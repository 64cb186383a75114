"""Grants the free slots of one endpoint to the accounts that waited for them.

A sidecar offers each free slot to a router that holds a request of the account with the least
virtual time. Until then the request stays at the router, so no queued work is lost with a
sidecar, and the choice uses what is known at the last moment.
"""

import random
import uuid
from collections.abc import Awaitable, Callable

import attrs
import trio

from ..decisions.account_choice import choose_account
from ..decisions.account_shares import AccountShares, Charge
from ..decisions.admission_window import AdmissionWindow
from ..decisions.reservations import Reservations, RouterReservations
from ..errors import ErrorKind, Refused
from ..messages import GrantOffer, GrantReply
from ..observability.metrics import Metrics

#: Longest wait for the request after a router accepted a grant.
GRANT_TIMEOUT_SECONDS = 2.0
#: Longest time that an endpoint is kept free of other work for a suspect.
_ISOLATION_TIMEOUT_SECONDS = 30.0
_ISOLATION_POLL_SECONDS = 0.02

#: Sends an offer to a router; None means that the router did not answer.
OfferSender = Callable[[str, GrantOffer], Awaitable[GrantReply | None]]


@attrs.define(eq=False)
class Slot:
    """One slot of the endpoint in use.

    Attributes:
        charge: Cost of the request that uses it.
    """

    charge: Charge


@attrs.define(eq=False)
class _PendingGrant:
    charge: Charge | None = None
    request_arrived: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(kw_only=True)
class SidecarIdentity:
    """What an offer says about its sender.

    Attributes:
        sidecar: The sidecar incarnation.
        pool: Pool of its endpoint.
        address: URL of the sidecar, known once it listens.
    """

    sidecar: str
    pool: str
    address: str = ''


class GrantScheduler:
    """Slots of one endpoint, and the offers that are open for them."""

    def __init__(
        self,
        identity: SidecarIdentity,
        *,
        shares: AccountShares,
        reservations: Reservations,
        window: AdmissionWindow,
        check_admission: Callable[[], Refused | None],
        send_offer: OfferSender,
        metrics: Metrics,
    ) -> None:
        """Starts with all slots free."""
        self._identity = identity
        self._shares = shares
        self._reservations = reservations
        self._window = window
        self._check_admission = check_admission
        self._send_offer = send_offer
        self._metrics = metrics
        self._running: set[Slot] = set()
        self._pending_grants: dict[str, _PendingGrant] = {}
        self._changed = trio.Event()
        self._is_polling_routers = False
        self._is_router_poll_due = False
        self._is_isolated = False
        self._isolated_slot: Slot | None = None

    @property
    def free_slots(self) -> int:
        """Slots that are neither in use nor on offer."""
        if self._is_isolated:
            return 0
        return max(self._window.limit - len(self._running) - len(self._pending_grants), 0)

    @property
    def used_slots(self) -> int:
        """Slots in use."""
        return len(self._running)

    def notify(self) -> None:
        """Wakes the scheduler after a change of slots or reservations."""
        self._changed.set()

    def admit(self, account: str, grant: str) -> Slot | Refused:
        """Gives a slot to a request that arrived.

        Args:
            account: The client account.
            grant: Identifier of the accepted offer; empty if the router tries without one.

        Returns:
            The slot, or why the request may not run here now.
        """
        refused = self._check_admission()
        pending = self._pending_grants.pop(grant, None)
        if pending is not None:
            pending.request_arrived.set()
            charge = pending.charge or self._shares.open_charge(account)
            if refused is not None:
                self._shares.close_charge(charge, learn=False)
                return refused
            return self._occupy(charge)
        if refused is not None:
            return refused
        if self.free_slots == 0 or self._reservations.accounts():
            return Refused(ErrorKind.sidecar_busy)
        return self._occupy(self._shares.open_charge(account))

    async def admit_isolated(self, account: str) -> Slot | Refused:
        """Gives the whole endpoint to one request.

        Args:
            account: The client account.

        Returns:
            The slot once nothing else runs, or why the request may not run here now.
        """
        if self._is_isolated:
            return Refused(ErrorKind.sidecar_busy, 'another suspect runs alone')
        self._is_isolated = True
        with trio.move_on_after(_ISOLATION_TIMEOUT_SECONDS):
            while self._running or self._pending_grants:
                await trio.sleep(_ISOLATION_POLL_SECONDS)
        refused = self._check_admission()
        if refused is None and (self._running or self._pending_grants):
            refused = Refused(ErrorKind.sidecar_busy, 'the endpoint did not become idle')
        if refused is not None:
            self._is_isolated = False
            return refused
        slot = self._occupy(self._shares.open_charge(account))
        self._isolated_slot = slot
        return slot

    def admit_resumed(self, account: str) -> Slot:
        """Takes a slot for a request that already runs on the endpoint.

        Args:
            account: The client account.

        Returns:
            The slot, also beyond the window.
        """
        return self._occupy(self._shares.open_charge(account))

    def release(self, slot: Slot, *, completed: bool) -> None:
        """Frees a slot.

        Args:
            slot: The slot.
            completed: Whether the request ran to its end.
        """
        self._running.discard(slot)
        if slot is self._isolated_slot:
            self._isolated_slot = None
            self._is_isolated = False
        self._shares.close_charge(slot.charge, learn=completed)
        self._metrics.running.set({}, len(self._running))
        self._is_router_poll_due = True
        self.notify()

    async def run(self) -> None:
        """Offers free slots until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._changed = trio.Event()
                self._offer_free_slots(nursery)
                await self._changed.wait()

    def _offer_free_slots(self, nursery: trio.Nursery) -> None:
        self._shares.lift_woken(self._reservations.accounts())
        while self.free_slots > 0 and self._check_admission() is None:
            account = choose_account(self._reservations.accounts(), self._shares.virtual_time)
            router = None if account is None else self._reservations.take(account)
            if account is None or router is None:
                self._start_router_poll(nursery)
                return
            grant = uuid.uuid4().hex
            self._pending_grants[grant] = _PendingGrant(self._shares.open_charge(account))
            nursery.start_soon(self._offer_slot, router, grant, account)
        self._shares.note_backlog(self._reservations.accounts())

    def _start_router_poll(self, nursery: trio.Nursery) -> None:
        if self._is_router_poll_due and not self._is_polling_routers:
            self._is_polling_routers = True
            nursery.start_soon(self._poll_routers)

    async def _poll_routers(self) -> None:
        """Asks each router once for any request, since this sidecar knows of none."""
        self._is_router_poll_due = False
        routers = self._reservations.routers()
        random.shuffle(routers)
        try:
            for router in routers:
                if self.free_slots == 0 or self._reservations.accounts():
                    return
                grant = uuid.uuid4().hex
                self._pending_grants[grant] = _PendingGrant()
                await self._offer_slot(router, grant, '')
        finally:
            self._is_polling_routers = False
            self.notify()

    async def _offer_slot(self, router: RouterReservations, grant: str, account: str) -> None:
        reply = await self._send_offer(router.address, self._build_offer(grant, account))
        if reply is None:
            self._reservations.drop(router.router)
            self._close_grant(grant, 'unanswered')
            return
        self._reservations.set_waiting(router.router, reply.reservations)
        if not reply.account:
            self._close_grant(grant, 'declined' if account else 'none')
            return
        pending = self._pending_grants.get(grant)
        if pending is None:
            self._close_grant(grant, 'used')
            return
        if pending.charge is None:
            pending.charge = self._shares.open_charge(reply.account)
        self._nursery.start_soon(self._await_request, grant, pending)

    async def _await_request(self, grant: str, pending: _PendingGrant) -> None:
        with trio.move_on_after(GRANT_TIMEOUT_SECONDS):
            await pending.request_arrived.wait()
        self._close_grant(grant, 'expired')

    def _build_offer(self, grant: str, account: str) -> GrantOffer:
        return GrantOffer(
            grant=grant,
            sidecar=self._identity.sidecar,
            address=self._identity.address,
            pool=self._identity.pool,
            account=account,
            free_slots=self.free_slots,
        )

    def _close_grant(self, grant: str, result: str) -> None:
        pending = self._pending_grants.pop(grant, None)
        if pending is None:
            self._metrics.grants.inc({'result': 'used'})
            return
        self._metrics.grants.inc({'result': result})
        if pending.charge is not None:
            self._shares.close_charge(pending.charge, learn=False)
        self.notify()

    def _occupy(self, charge: Charge) -> Slot:
        slot = Slot(charge)
        self._running.add(slot)
        self._metrics.running.set({}, len(self._running))
        return slot
