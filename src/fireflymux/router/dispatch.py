"""Brings each request of a router to a sidecar, and tries again where that does no harm."""

import random
import uuid
from collections.abc import Callable

import attrs
import trio

from ..decisions.crash_registry import GUILTY, SUSPECT, CrashRegistry
from ..decisions.retry_budget import RetryBudget, backoff_seconds
from ..errors import ErrorKind, Ran, Refused
from ..messages import GrantOffer, RunOrder
from ..observability.metrics import Metrics
from .backlog import Backlog, Placement, Ticket
from .caller_requests import CallerRequest
from .peers import Peer, Peers
from .run_client import RunClient, Stream, Whole

#: Refusals after which another sidecar is tried without a delay.
_PLACEMENT_REFUSALS = frozenset(
    (
        ErrorKind.sidecar_busy,
        ErrorKind.sidecar_leaving,
        ErrorKind.sidecar_unconfirmed,
    )
)
_RETRIED_REFUSALS = frozenset((ErrorKind.endpoint_unreachable,))
_BROKEN = frozenset((ErrorKind.outcome_unknown, ErrorKind.answer_cut, ErrorKind.endpoint_crashed))
_BUSY_LIMIT = 1000
_ALONE_DELAY_SECONDS = 0.1


@attrs.define(eq=False)
class Dispatch:
    """Progress of one request.

    Attributes:
        request: The request.
        order: The order sent to the sidecars.
        ticket: Its place in the queue.
        deadline: Time at which it is given up on while it waits.
        failures: Attempts that failed.
        may_have_run: Whether an earlier attempt may have run.
    """

    request: CallerRequest
    order: RunOrder
    ticket: Ticket
    deadline: float
    failures: int = 0
    may_have_run: bool = False


@attrs.define(frozen=True, kw_only=True)
class DispatchParts:
    """What the requests of a router share."""

    router: str
    backlog: Backlog
    peers: Peers
    crashes: CrashRegistry
    client: RunClient
    metrics: Metrics
    rng: random.Random
    retry_limit: int
    config_version: Callable[[], int]


class Dispatcher:
    """Sends requests to sidecars."""

    def __init__(self, parts: DispatchParts) -> None:
        """Starts idle.

        Args:
            parts: What the requests share.
        """
        self._parts = parts
        self._budgets: dict[str, RetryBudget] = {}

    async def send(self, request: CallerRequest, traceparent: str) -> Whole | Stream | Refused:
        """Queues a request and runs it.

        The caller must call `finish` with the account once the answer is delivered, unless
        the outcome is a refusal.

        Args:
            request: The checked request.
            traceparent: Trace context of this hop.

        Returns:
            The answer, its stream, or why there is none.
        """
        dispatch = self._prepare(request, traceparent)
        self._budget(request.account).earn()
        first = False
        while True:
            state = self._parts.crashes.state_of(dispatch.order.fingerprint)
            if state == GUILTY:
                return _qualify(dispatch, Refused(ErrorKind.crash_suspected))
            dispatch.order = attrs.evolve(dispatch.order, isolated=state == SUSPECT)
            refused = await self._wait_for_place(dispatch, first=first)
            if refused is not None:
                return _qualify(dispatch, refused)
            outcome = await self._attempt(dispatch)
            if not isinstance(outcome, Refused):
                return outcome
            dispatch.may_have_run = dispatch.may_have_run or outcome.outcome is not Ran.no
            verdict = self._judge(dispatch, outcome)
            if verdict is not None:
                return _qualify(dispatch, verdict)
            first = True
            await self._pause(dispatch, outcome)

    def finish(self, account: str) -> None:
        """Frees the concurrency of a delivered answer.

        Args:
            account: The client account.
        """
        self._parts.backlog.stop(account)
        for pool in self._parts.peers.pools:
            if self._parts.backlog.grantable(pool, account) == 1:
                self._parts.peers.notify(pool)

    def accept_grant(self, offer: GrantOffer, placement: Placement) -> str:
        """Gives a waiting request to a sidecar that has a free slot.

        Args:
            offer: The offer; an empty account takes the request that waited longest.
            placement: The sidecar and its offer.

        Returns:
            The account whose request takes the slot; empty if none does.
        """
        peer = self._parts.peers.find(placement.address)
        if peer is None or not self._parts.peers.may_work(peer):
            return ''
        account = offer.account or self._parts.backlog.oldest_account(offer.pool)
        ticket = None
        if account:
            ticket = self._parts.backlog.take(offer.pool, account, placement.sidecar)
        if ticket is None:
            # The slot on offer is free too; a sidecar with a backlog will offer it elsewhere.
            peer.free_slots = offer.free_slots if offer.account else offer.free_slots + 1
            return ''
        self._parts.backlog.start(ticket.account)
        ticket.place(placement)
        return ticket.account

    def record_cut(self, stream: Stream) -> None:
        """Records why an answer that was being delivered broke off.

        Args:
            stream: The stream that is not whole.
        """
        if stream.failure is not None and stream.failure.kind is ErrorKind.endpoint_crashed:
            self._record_crash(stream.order)

    def _record_crash(self, order: RunOrder) -> None:
        self._parts.crashes.record_crash(order.fingerprint, alone=order.isolated)
        self._parts.peers.notify_all()

    def _prepare(self, request: CallerRequest, traceparent: str) -> Dispatch:
        order = RunOrder(
            request=uuid.uuid4().hex,
            attempt=0,
            router=self._parts.router,
            account=request.account,
            pool=request.pool,
            method=request.method,
            path=request.path,
            fingerprint=request.fingerprint,
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
            traceparent=traceparent,
            headers=request.headers,
        )
        deadline = trio.current_time() + request.timeout_seconds
        return Dispatch(request, order, Ticket(request.pool, request.account), deadline)

    async def _wait_for_place(self, dispatch: Dispatch, *, first: bool) -> Refused | None:
        ticket = Ticket(
            dispatch.request.pool,
            dispatch.request.account,
            avoid=dispatch.ticket.avoid,
        )
        dispatch.ticket = ticket
        self._forget_avoided(ticket)
        if dispatch.order.isolated:
            return await self._place_alone(dispatch)
        if self._place_directly(ticket):
            return None
        self._parts.backlog.add(ticket, first=first)
        if self._parts.backlog.grantable(ticket.pool, ticket.account) == 1 or first:
            self._parts.peers.notify(ticket.pool)
        try:
            with trio.move_on_at(dispatch.deadline):
                await ticket.decided.wait()
        except trio.Cancelled:
            self._abandon(ticket)
            raise
        if ticket.placement is not None:
            return None
        self._parts.backlog.remove(ticket)
        return Refused(ErrorKind.queue_timeout)

    def _forget_avoided(self, ticket: Ticket) -> None:
        workers = [
            peer.sidecar
            for peer in self._parts.peers.of_pool(ticket.pool)
            if self._parts.peers.may_work(peer)
        ]
        if ticket.avoid.issuperset(workers):
            ticket.avoid.clear()

    def _abandon(self, ticket: Ticket) -> None:
        self._parts.backlog.remove(ticket)
        if ticket.placement is not None:
            self.finish(ticket.account)

    def _place_directly(self, ticket: Ticket) -> bool:
        if self._parts.backlog.grantable(ticket.pool, ticket.account):
            return False
        if self._parts.backlog.free_concurrency(ticket.account) == 0:
            return False
        peer = self._choose_idle(ticket)
        if peer is None:
            return False
        peer.free_slots -= 1
        self._parts.backlog.start(ticket.account)
        ticket.place(Placement(peer.address, peer.sidecar))
        return True

    async def _place_alone(self, dispatch: Dispatch) -> Refused | None:
        """Places a suspect on an endpoint that it has not crashed, without a queue."""
        ticket = dispatch.ticket
        while trio.current_time() < dispatch.deadline:
            workers = [
                peer
                for peer in self._parts.peers.of_pool(ticket.pool)
                if self._parts.peers.may_work(peer) and peer.sidecar not in ticket.avoid
            ]
            if workers and self._parts.backlog.free_concurrency(ticket.account):
                peer = max(workers, key=lambda item: item.free_slots)
                self._parts.backlog.start(ticket.account)
                ticket.place(Placement(peer.address, peer.sidecar))
                return None
            await trio.sleep(_ALONE_DELAY_SECONDS)
            self._forget_avoided(ticket)
        return Refused(ErrorKind.queue_timeout)

    def _choose_idle(self, ticket: Ticket) -> Peer | None:
        idle = [
            peer
            for peer in self._parts.peers.of_pool(ticket.pool)
            if peer.free_slots > 0
            and peer.sidecar not in ticket.avoid
            and self._parts.peers.may_work(peer)
        ]
        if not idle:
            return None
        # Two random choices: routers that know the same must not all choose the same.
        sample = self._parts.rng.sample(idle, min(len(idle), 2))
        return max(sample, key=lambda peer: peer.free_slots)

    async def _attempt(self, dispatch: Dispatch) -> Whole | Stream | Refused:
        placement = dispatch.ticket.placement
        assert placement is not None, 'a placed request has a placement'
        dispatch.order = attrs.evolve(
            dispatch.order,
            attempt=dispatch.order.attempt + 1,
            grant=placement.grant,
            config_version=self._parts.config_version(),
        )
        try:
            outcome = await self._parts.client.start(
                placement,
                dispatch.order,
                dispatch.request.body,
            )
        except BaseException:
            self.finish(dispatch.request.account)
            with trio.CancelScope(shield=True):
                await self._parts.client.cancel(placement, dispatch.order)
            raise
        if isinstance(outcome, Refused):
            self.finish(dispatch.request.account)
        return outcome

    def _judge(self, dispatch: Dispatch, refused: Refused) -> Refused | None:
        """Returns the final refusal, or None if the request is tried again."""
        if refused.kind in _PLACEMENT_REFUSALS:
            return self._judge_placement(dispatch, refused)
        if refused.kind is ErrorKind.call_in_progress:
            return self._judge_in_progress(refused)
        if refused.kind is ErrorKind.endpoint_crashed:
            self._record_crash(dispatch.order)
        if not self._may_retry(dispatch, refused):
            return refused
        dispatch.failures += 1
        placement = dispatch.ticket.placement
        if placement is not None:
            dispatch.ticket.avoid.add(placement.sidecar)
        if dispatch.failures > self._parts.retry_limit:
            return refused
        if not self._budget(dispatch.request.account).try_spend():
            return refused
        self._parts.metrics.retries.inc({'kind': refused.kind.value})
        return None

    def _judge_placement(self, dispatch: Dispatch, refused: Refused) -> Refused | None:
        placement = dispatch.ticket.placement
        peer = self._parts.peers.find(placement.address) if placement else None
        if peer is not None:
            peer.free_slots = 0
        if dispatch.order.attempt > _BUSY_LIMIT:
            return Refused(ErrorKind.retries_exhausted, refused.kind.value)
        return None

    def _judge_in_progress(self, refused: Refused) -> Refused:
        if self._parts.peers.is_known_writer(refused.writer):
            return refused
        return Refused(ErrorKind.outcome_unknown, 'the sidecar that started the call is gone')

    def _may_retry(self, dispatch: Dispatch, refused: Refused) -> bool:
        if trio.current_time() >= dispatch.deadline:
            return False
        if refused.outcome is Ran.no:
            return refused.kind in _RETRIED_REFUSALS
        if refused.kind not in _BROKEN:
            return False
        # A claimed call may be sent to any sidecar: the claim decides whether it runs.
        has_lost_transfer = refused.kind is ErrorKind.outcome_unknown and not refused.writer
        return dispatch.request.may_repeat or (
            has_lost_transfer and bool(dispatch.request.idempotency_key)
        )

    async def _pause(self, dispatch: Dispatch, refused: Refused) -> None:
        if refused.kind not in _PLACEMENT_REFUSALS or dispatch.order.isolated:
            await trio.sleep(backoff_seconds(dispatch.failures, self._parts.rng))

    def _budget(self, account: str) -> RetryBudget:
        return self._budgets.setdefault(account, RetryBudget())


def _qualify(dispatch: Dispatch, refused: Refused) -> Refused:
    """Never calls a request not run of which an earlier attempt may have run."""
    if dispatch.may_have_run and refused.outcome is Ran.no:
        return Refused(refused.kind, refused.detail, Ran.unknown, refused.writer)
    return refused
