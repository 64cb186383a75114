"""Sends each request to a sidecar and retries failed attempts where that is safe.

`placement` chooses the sidecar of each attempt.
"""

import random
import uuid
from collections.abc import Callable

import attrs
import trio

from ..decisions.crash_registry import GUILTY, SUSPECT, CrashRegistry
from ..decisions.retry_budget import RetryBudget, backoff_seconds
from ..decisions.send_record import SendRecord
from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..messages import RunOrder
from ..observability.metrics import Metrics
from .backlog import PendingRequest
from .caller_requests import CallerRequest
from .peers import PeerDirectory
from .placement import Placer
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
        history: Its sends, and whether one of them may have run it.
    """

    request: CallerRequest
    order: RunOrder
    pending: PendingRequest
    deadline: float
    failed_attempts: int = 0
    history: SendRecord = attrs.field(factory=SendRecord)


@attrs.define(frozen=True, kw_only=True)
class DispatchContext:
    """Objects and settings that a dispatcher uses.

    Attributes:
        router_id: Incarnation of this router.
        peers: Known sidecars.
        placer: Places the attempts on sidecars.
        crashes: Verdicts on requests that ran when an endpoint crashed.
        run_client: Client that sends run orders to sidecars.
        metrics: Metrics of the process.
        rng: Random source for jittering delays.
        retry_limit: Maximum number of retries of one request.
        get_config_version: Returns the version of the configuration replica.
    """

    router_id: str
    peers: PeerDirectory
    placer: Placer
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
        `Placer.release_concurrency` is called, which must be done once the response is delivered.

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
            failure = await self._place(dispatch, is_requeued=is_requeued)
            if failure is not None:
                return _adjust_outcome(dispatch, failure)
            result = await self._run_attempt(dispatch)
            if not isinstance(result, CallFailure):
                return result
            final_failure = self._handle_failure(dispatch, result)
            if final_failure is not None:
                return _adjust_outcome(dispatch, final_failure)
            is_requeued = True
            await self._wait_before_retry(dispatch, result)

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

    async def _place(self, dispatch: DispatchState, *, is_requeued: bool) -> CallFailure | None:
        dispatch.pending = PendingRequest(
            dispatch.request.pool,
            dispatch.request.account,
            excluded_sidecar_ids=dispatch.pending.excluded_sidecar_ids,
        )
        return await self._context.placer.place(
            dispatch.pending,
            deadline=dispatch.deadline,
            is_isolated=dispatch.order.isolated,
            is_requeued=is_requeued,
        )

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
        dispatch.history.record_send()
        try:
            result = await self._context.run_client.send_order(
                placement,
                dispatch.order,
                dispatch.request.body,
            )
        except BaseException:
            self._context.placer.release_concurrency(dispatch.request.account)
            with trio.CancelScope(shield=True):
                await self._context.run_client.cancel(placement, dispatch.order)
            raise
        if isinstance(result, CallFailure):
            self._context.placer.release_concurrency(dispatch.request.account)
            if result.outcome is ExecutionStatus.no:
                dispatch.history.record_rejection()
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
    if dispatch.history.may_have_run and failure.outcome is ExecutionStatus.no:
        return CallFailure(failure.kind, failure.detail, ExecutionStatus.unknown, failure.writer)
    return failure
