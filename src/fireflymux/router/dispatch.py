"""Queues requests, sends each one to a sidecar and retries failed attempts where that is safe.

A request is placed on a sidecar in one of three ways:

- directly, if the sidecar reported a free slot and no request of the account waits;
- by a grant: a sidecar offers a free slot, and a queued request takes it;
- isolated, if it is suspected of crashing endpoints, so that no other request runs beside it.
"""

import random
import uuid
from collections.abc import Callable

import attrs
import trio

from ..decisions.crash_registry import GUILTY, SUSPECT, CrashRegistry
from ..decisions.retry_budget import RetryBudget, backoff_seconds
from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..messages import GrantOffer, RunOrder
from ..observability.metrics import Metrics
from .backlog import Backlog, PendingRequest, Placement
from .caller_requests import CallerRequest
from .peers import PeerDirectory, SidecarPeer
from .run_client import BufferedResponse, RunClient, StreamedResponse

#: Refusals of a sidecar that did not start the request. The request is placed again: it returns to
#: the front of its queue without a delay, or is retried after a delay if it runs isolated.
_PLACEMENT_REFUSALS = frozenset(
    (
        ErrorKind.sidecar_busy,
        ErrorKind.sidecar_leaving,
        ErrorKind.sidecar_unconfirmed,
    )
)
#: Failures that are retried if the request did not run.
_RETRIED_IF_NOT_RUN = frozenset((ErrorKind.endpoint_unreachable,))
#: Failures of requests that may have run, retried if running them again is safe.
_RETRIED_IF_REPEATABLE = frozenset(
    (ErrorKind.outcome_unknown, ErrorKind.answer_cut, ErrorKind.endpoint_crashed)
)
#: Attempts of any result after which a request is given up; checked only when a sidecar refuses
#: the placement.
_MAXIMUM_ATTEMPTS = 1000
_ISOLATION_POLL_SECONDS = 0.1


@attrs.define(eq=False)
class DispatchState:
    """State of dispatching one request.

    Attributes:
        request: The validated request.
        order: The run order of the current attempt.
        pending: The request as it waits for a sidecar. Each attempt gets a new object, which takes
            over the excluded sidecars of the one before.
        deadline: Time at which waiting and retrying end, in seconds.
        failed_attempts: Number of failed attempts whose failure allows a retry, without placement
            refusals.
        may_have_run: Whether an earlier attempt may have run.
    """

    request: CallerRequest
    order: RunOrder
    pending: PendingRequest
    deadline: float
    failed_attempts: int = 0
    may_have_run: bool = False


@attrs.define(frozen=True, kw_only=True)
class DispatchContext:
    """Objects and settings that a dispatcher uses.

    Attributes:
        router_id: Incarnation of this router.
        backlog: Waiting requests and free concurrency of the accounts.
        peers: Known sidecars.
        crashes: Verdicts on requests that ran when an endpoint crashed.
        run_client: Client that sends run orders to sidecars.
        metrics: Metrics of the process.
        rng: Random source for choosing sidecars and jittering delays.
        retry_limit: Maximum number of retries of one request.
        get_config_version: Returns the version of the configuration replica.
    """

    router_id: str
    backlog: Backlog
    peers: PeerDirectory
    crashes: CrashRegistry
    run_client: RunClient
    metrics: Metrics
    rng: random.Random
    retry_limit: int
    get_config_version: Callable[[], int]


class Dispatcher:
    """Dispatches the requests of a router to sidecars."""

    def __init__(self, context: DispatchContext) -> None:
        """Creates a dispatcher without requests.

        Args:
            context: Objects and settings to use.
        """
        self._context = context
        self._retry_budgets: dict[str, RetryBudget] = {}

    async def send(
        self, request: CallerRequest, traceparent: str
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        """Queues a request and runs it, with retries.

        Unless the request is refused, it counts against the concurrency of its account until
        `release_concurrency` is called, which must be done once the response is delivered.

        Args:
            request: The validated request.
            traceparent: Trace context of the span of this request.

        Returns:
            The complete response, its stream, or why there is none.
        """
        dispatch = self._create_dispatch(request, traceparent)
        self._retry_budget(request.account).earn()
        is_requeued = False
        while True:
            state = self._context.crashes.state_of(dispatch.order.fingerprint)
            if state == GUILTY:
                return _adjust_outcome(dispatch, CallFailure(ErrorKind.crash_suspected))
            dispatch.order = attrs.evolve(dispatch.order, isolated=state == SUSPECT)
            failure = await self._wait_for_placement(dispatch, is_requeued=is_requeued)
            if failure is not None:
                return _adjust_outcome(dispatch, failure)
            result = await self._run_attempt(dispatch)
            if not isinstance(result, CallFailure):
                return result
            dispatch.may_have_run = (
                dispatch.may_have_run or result.outcome is not ExecutionStatus.no
            )
            final_failure = self._handle_failure(dispatch, result)
            if final_failure is not None:
                return _adjust_outcome(dispatch, final_failure)
            is_requeued = True
            await self._wait_before_retry(dispatch, result)

    def release_concurrency(self, account: str) -> None:
        """Releases the concurrency that a request used, so that another one may run.

        Args:
            account: Client account of the request.
        """
        self._context.backlog.release_concurrency(account)
        for pool in self._context.peers.pools:
            # As in `_wait_for_placement`, one grantable request is reported early.
            if self._context.backlog.count_grantable(pool, account) == 1:
                self._context.peers.trigger_heartbeats(pool)

    def accept_grant(self, offer: GrantOffer, placement: Placement) -> str:
        """Places a waiting request in the slot that a sidecar offers.

        Args:
            offer: The grant offer. If it names no account, the slot goes to the account with the
                oldest request that may run.
            placement: The sidecar and the ID of the offer.

        Returns:
            The account whose request takes the slot; empty if the offer is declined.
        """
        peer = self._context.peers.find(placement.address)
        if peer is None or not self._context.peers.accepts_work(peer):
            return ''
        account = offer.account or self._context.backlog.oldest_account(offer.pool)
        pending = None
        if account:
            pending = self._context.backlog.take(offer.pool, account, placement.sidecar_id)
        if pending is None:
            # The number of free slots in an offer leaves out the offered one. After a decline that
            # slot is free too, unless the sidecar offers it to another router: an offer that names
            # an account shows that it knows of waiting requests.
            peer.free_slots = offer.free_slots if offer.account else offer.free_slots + 1
            return ''
        self._context.backlog.acquire_concurrency(pending.account)
        pending.place(placement)
        return pending.account

    def record_stream_crash(self, stream: StreamedResponse) -> None:
        """Records a crash if a stream ended early because its endpoint crashed.

        Args:
            stream: The incomplete stream.
        """
        if stream.failure is not None and stream.failure.kind is ErrorKind.endpoint_crashed:
            self._record_crash(stream.order)

    def _record_crash(self, order: RunOrder) -> None:
        self._context.crashes.record_crash(order.fingerprint, alone=order.isolated)
        self._context.peers.trigger_all_heartbeats()

    def _create_dispatch(self, request: CallerRequest, traceparent: str) -> DispatchState:
        order = RunOrder(
            request=uuid.uuid4().hex,
            attempt=0,
            router=self._context.router_id,
            account=request.account,
            pool=request.pool,
            method=request.method,
            path=request.path,
            fingerprint=request.fingerprint,
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
            traceparent=traceparent,
            is_stream=request.is_stream,
            headers=request.headers,
        )
        deadline = trio.current_time() + request.timeout_seconds
        return DispatchState(
            request, order, PendingRequest(request.pool, request.account), deadline
        )

    async def _wait_for_placement(
        self, dispatch: DispatchState, *, is_requeued: bool
    ) -> CallFailure | None:
        pending = PendingRequest(
            dispatch.request.pool,
            dispatch.request.account,
            excluded_sidecar_ids=dispatch.pending.excluded_sidecar_ids,
        )
        dispatch.pending = pending
        self._reset_exclusions(pending)
        if dispatch.order.isolated:
            return await self._place_isolated(dispatch)
        if self._place_directly(pending):
            return None
        self._context.backlog.add(pending, at_front=is_requeued)
        # Heartbeats are sent early only if this is the account's only grantable request or a
        # retried one. Each heartbeat reports all reservations of the pool, so the regular ones
        # report the other requests.
        if (
            self._context.backlog.count_grantable(pending.pool, pending.account) == 1
            or is_requeued
        ):
            self._context.peers.trigger_heartbeats(pending.pool)
        try:
            with trio.move_on_at(dispatch.deadline):
                await pending.placed.wait()
        except trio.Cancelled:
            self._abandon(pending)
            raise
        if pending.placement is not None:
            return None
        self._context.backlog.remove(pending)
        return CallFailure(ErrorKind.queue_timeout)

    def _reset_exclusions(self, pending: PendingRequest) -> None:
        """Clears the exclusions of a request if no other sidecar accepts work."""
        available_ids = [
            peer.sidecar_id
            for peer in self._context.peers.list_sidecars(pending.pool)
            if self._context.peers.accepts_work(peer)
        ]
        if pending.excluded_sidecar_ids.issuperset(available_ids):
            pending.excluded_sidecar_ids.clear()

    def _abandon(self, pending: PendingRequest) -> None:
        """Drops a request whose task was cancelled while it waited."""
        self._context.backlog.remove(pending)
        if pending.placement is not None:
            self.release_concurrency(pending.account)

    def _place_directly(self, pending: PendingRequest) -> bool:
        """Places a request on a sidecar with a free slot, unless others of its account wait.

        Returns:
            Whether it was placed.
        """
        if self._context.backlog.count_grantable(pending.pool, pending.account):
            return False
        if self._context.backlog.free_concurrency(pending.account) == 0:
            return False
        peer = self._choose_idle(pending)
        if peer is None:
            return False
        peer.free_slots -= 1
        self._context.backlog.acquire_concurrency(pending.account)
        pending.place(Placement(peer.address, peer.sidecar_id))
        return True

    async def _place_isolated(self, dispatch: DispatchState) -> CallFailure | None:
        """Places a suspect, which must run alone, where no earlier attempt failed.

        The request is not queued; the sidecar accepts it once its endpoint is idle.

        Returns:
            Why the request was not placed, or None if it was.
        """
        pending = dispatch.pending
        while trio.current_time() < dispatch.deadline:
            available = [
                peer
                for peer in self._context.peers.list_sidecars(pending.pool)
                if self._context.peers.accepts_work(peer)
                and peer.sidecar_id not in pending.excluded_sidecar_ids
            ]
            if available and self._context.backlog.free_concurrency(pending.account):
                peer = max(available, key=lambda item: item.free_slots)
                self._context.backlog.acquire_concurrency(pending.account)
                pending.place(Placement(peer.address, peer.sidecar_id))
                return None
            await trio.sleep(_ISOLATION_POLL_SECONDS)
            self._reset_exclusions(pending)
        return CallFailure(ErrorKind.queue_timeout)

    def _choose_idle(self, pending: PendingRequest) -> SidecarPeer | None:
        idle = [
            peer
            for peer in self._context.peers.list_sidecars(pending.pool)
            if peer.free_slots > 0
            and peer.sidecar_id not in pending.excluded_sidecar_ids
            and self._context.peers.accepts_work(peer)
        ]
        if not idle:
            return None
        # Chooses the better of two random sidecars: routers with the same information would
        # otherwise all choose the same one.
        candidates = self._context.rng.sample(idle, min(len(idle), 2))
        return max(candidates, key=lambda peer: peer.free_slots)

    async def _run_attempt(
        self, dispatch: DispatchState
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        placement = dispatch.pending.placement
        assert placement is not None, 'a placed request has a placement'
        dispatch.order = attrs.evolve(
            dispatch.order,
            attempt=dispatch.order.attempt + 1,
            grant=placement.grant,
            config_version=self._context.get_config_version(),
        )
        try:
            result = await self._context.run_client.send_order(
                placement,
                dispatch.order,
                dispatch.request.body,
            )
        except BaseException:
            self.release_concurrency(dispatch.request.account)
            with trio.CancelScope(shield=True):
                await self._context.run_client.cancel(placement, dispatch.order)
            raise
        if isinstance(result, CallFailure):
            self.release_concurrency(dispatch.request.account)
        return result

    def _handle_failure(self, dispatch: DispatchState, failure: CallFailure) -> CallFailure | None:
        """Decides whether a failed attempt is retried.

        Returns:
            The final failure of the request, or None if it is retried.
        """
        if failure.kind in _PLACEMENT_REFUSALS and failure.outcome is ExecutionStatus.no:
            return self._handle_placement_refusal(dispatch, failure)
        if failure.kind is ErrorKind.call_in_progress:
            return self._resolve_call_in_progress(failure)
        if failure.kind is ErrorKind.endpoint_crashed:
            self._record_crash(dispatch.order)
        if not self._can_retry(dispatch, failure):
            return failure
        dispatch.failed_attempts += 1
        placement = dispatch.pending.placement
        if placement is not None:
            dispatch.pending.excluded_sidecar_ids.add(placement.sidecar_id)
        if dispatch.failed_attempts > self._context.retry_limit:
            return failure
        if not self._retry_budget(dispatch.request.account).try_spend():
            return failure
        self._context.metrics.retries.inc({'kind': failure.kind.value})
        return None

    def _handle_placement_refusal(
        self, dispatch: DispatchState, failure: CallFailure
    ) -> CallFailure | None:
        placement = dispatch.pending.placement
        peer = self._context.peers.find(placement.address) if placement else None
        if peer is not None:
            # No request is sent to it directly until its next heartbeat reports free slots.
            peer.free_slots = 0
        if dispatch.order.attempt > _MAXIMUM_ATTEMPTS:
            return CallFailure(ErrorKind.retries_exhausted, failure.kind.value)
        return None

    def _resolve_call_in_progress(self, failure: CallFailure) -> CallFailure:
        # A sidecar that this router did not select counts as gone, since it is not tracked.
        if self._context.peers.is_sidecar_up(failure.writer):
            return failure
        return CallFailure(ErrorKind.outcome_unknown, 'the sidecar that started the call is gone')

    def _can_retry(self, dispatch: DispatchState, failure: CallFailure) -> bool:
        if trio.current_time() >= dispatch.deadline:
            return False
        if failure.outcome is ExecutionStatus.no:
            return failure.kind in _RETRIED_IF_NOT_RUN
        if failure.kind not in _RETRIED_IF_REPEATABLE:
            return False
        # A call with an idempotency key that may not repeat is sent again only if its outcome is
        # unknown and the failure names no sidecar that claimed it, not after a crash or a response
        # that was cut off. Any sidecar may get it: its claim in the table service decides whether
        # it runs.
        is_outcome_unknown = failure.kind is ErrorKind.outcome_unknown and not failure.writer
        return dispatch.request.may_repeat or (
            is_outcome_unknown and bool(dispatch.request.idempotency_key)
        )

    async def _wait_before_retry(self, dispatch: DispatchState, failure: CallFailure) -> None:
        # A queued request waits for a free slot anyway; an isolated one is not queued.
        if failure.kind not in _PLACEMENT_REFUSALS or dispatch.order.isolated:
            await trio.sleep(backoff_seconds(dispatch.failed_attempts, self._context.rng))

    def _retry_budget(self, account: str) -> RetryBudget:
        return self._retry_budgets.setdefault(account, RetryBudget())


def _adjust_outcome(dispatch: DispatchState, failure: CallFailure) -> CallFailure:
    """Reports a request as possibly run if an earlier attempt may have run."""
    if dispatch.may_have_run and failure.outcome is ExecutionStatus.no:
        return CallFailure(failure.kind, failure.detail, ExecutionStatus.unknown, failure.writer)
    return failure
