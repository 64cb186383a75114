"""Scheduler that grants the slots of one endpoint to waiting requests.

Requests wait in the routers, which report to the sidecar how many they hold for each client
account. For each free slot, the scheduler chooses the waiting account with the least virtual
time and offers the slot to a router that holds one of its requests. A router that accepts
replies with the account and then sends the request, which names the grant.

A router's report of its waiting requests is called its reservations, although nothing is reserved
for them. An offer starts a grant, which ends when its request arrives and occupies the slot, or
when the offer is declined or no request arrives in time. The slot of a grant is not free.

Since the sidecar queues no requests, none of those that wait are lost if it crashes, and each
choice is based on the latest reservations.
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
from ..errors import CallFailure, ErrorKind
from ..messages import GrantOffer, GrantReply
from ..observability.metrics import Metrics

#: Time after an accepted offer in which its request must arrive; then the grant ends.
GRANT_TIMEOUT_SECONDS = 2.0
#: Maximum wait for the other requests to finish before a request runs in isolation.
_ISOLATION_TIMEOUT_SECONDS = 30.0
_ISOLATION_POLL_SECONDS = 0.02

#: Sends an offer to a router by its URL; returns None if the router did not reply.
OfferSender = Callable[[str, GrantOffer], Awaitable[GrantReply | None]]


@attrs.define(eq=False)
class Slot:
    """A slot of the endpoint that is in use.

    Attributes:
        charge: Cost of the request that occupies the slot.
    """

    charge: Charge


@attrs.define(eq=False)
class _PendingGrant:
    """A grant: a slot on offer, or accepted by a router whose request has not arrived yet.

    Attributes:
        charge: Expected cost; None for an offer to any account that is not accepted yet.
        request_arrived: Set when the request has arrived.
    """

    charge: Charge | None = None
    request_arrived: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(kw_only=True)
class SidecarIdentity:
    """Fields of an offer that identify the sidecar.

    Attributes:
        sidecar_id: Incarnation of the sidecar, that is the ID of its process.
        pool: Pool that the endpoint belongs to.
        address: URL of the sidecar; empty until it is listening.
    """

    sidecar_id: str
    pool: str
    address: str = ''


class GrantScheduler:
    """Admits requests to the slots of one endpoint and offers the free ones to routers."""

    def __init__(
        self,
        identity: SidecarIdentity,
        *,
        shares: AccountShares,
        reservations: Reservations,
        window: AdmissionWindow,
        check_admission: Callable[[], CallFailure | None],
        send_offer: OfferSender,
        metrics: Metrics,
    ) -> None:
        """Creates a scheduler whose slots are all free.

        Args:
            identity: Identity of the sidecar in offers.
            shares: Virtual time and open charges of each account.
            reservations: Requests that wait at the routers, as these announced them.
            window: Number of requests that the endpoint may run at once.
            check_admission: Returns why no new request may start, or None.
            send_offer: Sends an offer to a router.
            metrics: Metrics of the process.
        """
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
        self._is_offering_to_any_account = False
        self._are_offers_to_any_account_due = False
        self._is_isolated = False
        self._isolated_slot: Slot | None = None

    @property
    def free_slots(self) -> int:
        """Number of slots that are neither in use nor held by a grant.

        Zero from the moment that an isolated request starts to wait for the endpoint to be idle.
        """
        if self._is_isolated:
            return 0
        return max(self._window.limit - len(self._running) - len(self._pending_grants), 0)

    @property
    def used_slots(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    def notify(self) -> None:
        """Wakes the scheduler after slots or reservations have changed."""
        self._changed.set()

    def admit(self, account: str, grant: str) -> Slot | CallFailure:
        """Assigns a slot to a request that has arrived.

        A request without a pending grant is admitted only if a slot is free and no requests
        are known to wait at the routers.

        Args:
            account: Client account of the request.
            grant: ID of the grant whose offer was accepted; empty if there was none.

        Returns:
            The slot, or why the request is refused.
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
            return CallFailure(ErrorKind.sidecar_busy)
        return self._occupy(self._shares.open_charge(account))

    async def admit_isolated(self, account: str) -> Slot | CallFailure:
        """Waits until the endpoint is idle and assigns all of it to one request.

        Used for a request that is suspected of crashing endpoints. From the call on, so during
        the wait too, no other slots are offered; requests of grants made before are still
        admitted.

        Args:
            account: Client account of the request.

        Returns:
            The slot, or why the request is refused.
        """
        if self._is_isolated:
            return CallFailure(ErrorKind.sidecar_busy, 'another suspect runs alone')
        self._is_isolated = True
        try:
            return await self._wait_for_isolation(account)
        finally:
            # Holds for a refusal, and if the router leaves meanwhile, which cancels the wait.
            if self._isolated_slot is None:
                self._is_isolated = False
                self.notify()

    def admit_resumed(self, account: str) -> Slot:
        """Assigns a slot to a request that is already running on the endpoint.

        Args:
            account: Client account of the request.

        Returns:
            The slot, even if it exceeds the admission window.
        """
        return self._occupy(self._shares.open_charge(account))

    def release(self, slot: Slot, *, completed: bool) -> None:
        """Frees a slot and settles its charge; it is safe to call this again.

        Args:
            slot: The slot.
            completed: Whether the request ran to its end, so that its cost may update the
                estimate for the account's next request.
        """
        self._running.discard(slot)
        if slot is self._isolated_slot:
            self._isolated_slot = None
            self._is_isolated = False
        self._shares.close_charge(slot.charge, learn=completed)
        self._metrics.running.set({}, len(self._running))
        self._are_offers_to_any_account_due = True
        self.notify()

    async def run(self) -> None:
        """Offers free slots to routers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._changed = trio.Event()
                self._offer_free_slots(nursery)
                await self._changed.wait()

    def _offer_free_slots(self, nursery: trio.Nursery) -> None:
        # A floor is virtual time added to an account that had no backlog, so that it earns no
        # credit by being idle. The backlog recorded below tells which accounts that concerns.
        self._shares.raise_floors(self._reservations.accounts())
        while self.free_slots > 0 and self._check_admission() is None:
            account = choose_account(self._reservations.accounts(), self._shares.virtual_time)
            router = None if account is None else self._reservations.take(account)
            if account is None or router is None:
                self._start_offers_to_any_account(nursery)
                return
            grant = uuid.uuid4().hex
            self._pending_grants[grant] = _PendingGrant(self._shares.open_charge(account))
            nursery.start_soon(self._offer_slot, router, grant, account)
        self._shares.record_backlog(self._reservations.accounts())

    def _start_offers_to_any_account(self, nursery: trio.Nursery) -> None:
        if self._are_offers_to_any_account_due and not self._is_offering_to_any_account:
            self._is_offering_to_any_account = True
            nursery.start_soon(self._offer_to_any_account)

    async def _offer_to_any_account(self) -> None:
        """Offers free slots to the routers in turn, one to each, for any account.

        Runs after a slot became free while no waiting request is known: the reservations may
        be out of date.
        """
        self._are_offers_to_any_account_due = False
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
            self._is_offering_to_any_account = False
            self.notify()

    async def _offer_slot(self, router: RouterReservations, grant: str, account: str) -> None:
        """Sends an offer and applies the reply; an empty account stands for any account."""
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
        # The request may arrive before the reply to its offer.
        if pending is None:
            self._close_grant(grant, 'used')
            return
        if pending.charge is None:
            pending.charge = self._shares.open_charge(reply.account)
        self._nursery.start_soon(self._await_request, grant, pending)

    async def _await_request(self, grant: str, pending: _PendingGrant) -> None:
        """Waits for the request of an accepted grant, and frees the slot if none arrives.

        `admit` removes the grant when the request arrives, so that `_close_grant` counts it as
        used and not as expired.
        """
        with trio.move_on_after(GRANT_TIMEOUT_SECONDS):
            await pending.request_arrived.wait()
        self._close_grant(grant, 'expired')

    async def _wait_for_isolation(self, account: str) -> Slot | CallFailure:
        with trio.move_on_after(_ISOLATION_TIMEOUT_SECONDS):
            while self._running or self._pending_grants:
                await trio.sleep(_ISOLATION_POLL_SECONDS)
        refused = self._check_admission()
        if refused is not None:
            return refused
        if self._running or self._pending_grants:
            return CallFailure(ErrorKind.sidecar_busy, 'the endpoint did not become idle')
        self._isolated_slot = self._occupy(self._shares.open_charge(account))
        return self._isolated_slot

    def _build_offer(self, grant: str, account: str) -> GrantOffer:
        return GrantOffer(
            grant=grant,
            sidecar=self._identity.sidecar_id,
            address=self._identity.address,
            pool=self._identity.pool,
            account=account,
            free_slots=self.free_slots,
        )

    def _close_grant(self, grant: str, result: str) -> None:
        """Ends a grant and counts it by result, or as used if its request has arrived."""
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
