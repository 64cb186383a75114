"""Runs of a sidecar: requests on its endpoint, and buffered responses of earlier ones.

A run does not end with the connection that started it. Its response stays in a buffer for a
while, so that a router whose transfer broke can read the rest, and so that a repeated
idempotent call receives the same response.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio
from opentelemetry.trace import Tracer

from ..decisions.account_shares import AccountShares
from ..decisions.admission_window import AdmissionWindow
from ..decisions.crash_registry import CrashRegistry
from ..decisions.endpoint_backoff import EndpointBackoff
from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..messages import RunOrder
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..observability.tracing import start_span
from .claims import Claimed, ClaimStore, Replay
from .endpoint_call import EndpointCall, EndpointClient
from .grants import GrantScheduler, Slot
from .response_buffer import UNLIMITED_BYTES, ResponseBuffer

_log = get_logger(__name__)


@attrs.define(eq=False)
class Run:
    """One attempt to run a request on the endpoint, or to resume or replay its response.

    Attributes:
        order: Run order that describes the call.
        buffer: The response.
        slot: Slot that the run occupies.
        call: The call to the endpoint.
        scope: Cancel scope of the call.
        has_called_endpoint: Whether the endpoint is called, unlike for a replay or a refused claim.
        readers: Number of readers of the response at present.
        last_read_at: Time at which the last reader finished or the run ended, whichever was later,
            in seconds.
    """

    order: RunOrder
    buffer: ResponseBuffer
    slot: Slot
    call: EndpointCall
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    has_called_endpoint: bool = False
    readers: int = 0
    last_read_at: float = 0.0


@attrs.define(frozen=True, kw_only=True)
class RunContext:
    """Components and settings that all runs of a sidecar share.

    Attributes:
        scheduler: Frees the slot of a run when it ends.
        shares: Meters the cost of each run as normalized service of its account.
        window: Admission window, which adapts to the latencies that the calls report.
        claims: Claims idempotent calls and records their outcomes.
        endpoint: Client for the endpoint.
        metrics: Metrics of the process.
        tracer: Tracer of the process.
        crashes: Verdicts on requests that ran when an endpoint crashed.
        backoff: Backoff of the endpoint after calls that it did not accept.
        is_engine: Whether the endpoint is a model engine rather than a plain service.
        retention_seconds: Time for which a run is kept after its end and after its last reader.
        maximum_answer_bytes: Size limit of a response buffer, unless the response is recorded.
    """

    scheduler: GrantScheduler
    shares: AccountShares
    window: AdmissionWindow
    claims: ClaimStore
    endpoint: EndpointClient
    metrics: Metrics
    tracer: Tracer
    crashes: CrashRegistry
    backoff: EndpointBackoff
    is_engine: bool
    retention_seconds: float
    maximum_answer_bytes: int


class SidecarRuns:
    """Starts, finds and expires the runs of one sidecar.

    It keeps one run for each request: a later attempt replaces the earlier one.
    """

    def __init__(self, context: RunContext) -> None:
        """Creates a registry without runs.

        Args:
            context: Components and settings that the runs share.
        """
        self._context = context
        self._runs: dict[str, Run] = {}
        self._runs_by_key: dict[tuple[str, str], Run] = {}
        self._recording_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no call is running, no response is being read and no outcome is unrecorded."""
        is_any_active = any(
            run.readers or not run.buffer.is_finished for run in self._runs.values()
        )
        return not is_any_active and self._recording_count == 0

    def find(self, request: str, attempt: int) -> Run | None:
        """Finds a run.

        Args:
            request: Identifier of the request.
            attempt: Number of the attempt.

        Returns:
            The run, or None if this sidecar does not have it, has discarded it or has replaced it
            by another attempt.
        """
        run = self._runs.get(request)
        return run if run is not None and run.order.attempt == attempt else None

    def find_idempotent(self, order: RunOrder) -> Run | None:
        """Finds a run of the same idempotent call, so that its response can be reused.

        Args:
            order: Run order of a call with an idempotency key.

        Returns:
            A run with the same key and request that has not failed, or None.
        """
        run = self._runs_by_key.get((order.account, order.idempotency_key))
        if run is None or run.order.fingerprint != order.fingerprint:
            return None
        if run.buffer.failure is not None:
            return None
        return run

    def create(self, order: RunOrder, body: bytes, slot: Slot, *, start: int = 0) -> Run:
        """Registers a run without starting it.

        Args:
            order: Run order that describes the call.
            body: Request body.
            slot: Slot that the run occupies.
            start: Offset of the first byte to receive, if a response is resumed.

        Returns:
            The run, to be passed to `execute` or `resume`.
        """
        # The response to an idempotent call is recorded, so all of it must be kept.
        limit = UNLIMITED_BYTES if order.idempotency_key else self._context.maximum_answer_bytes
        buffer = ResponseBuffer(start=start, limit_bytes=limit)
        call = EndpointCall(
            order=order,
            body=body,
            buffer=buffer,
            meter=self._create_meter(slot),
            observe_first_token=self._context.window.observe,
        )
        run = Run(order, buffer, slot, call)
        self._runs[order.request] = run
        if order.idempotency_key:
            self._runs_by_key[order.account, order.idempotency_key] = run
        return run

    async def execute(self, run: Run) -> None:
        """Calls the endpoint until the response ends, and frees the slot.

        Args:
            run: A run returned by `create`.
        """
        span = start_span(
            self._context.tracer,
            'sidecar.endpoint',
            run.order.traceparent,
            request=run.order.request,
        )
        try:
            with run.scope:
                await self._guard(run, self._obtain_response)
            await self._finish(run)
        finally:
            span.set_attribute('whole', run.buffer.is_complete)
            span.end()

    async def resume(self, run: Run) -> None:
        """Continues a stream that an earlier incarnation of this sidecar started.

        Args:
            run: A run returned by `create` with a start offset.
        """
        run.has_called_endpoint = True
        with run.scope:
            await self._guard(run, self._resume_stream)
        await self._finish(run)

    async def expire_runs(self) -> None:
        """Expires runs whose response nobody has read for the retention time.

        Finished runs are discarded. Unfinished requests to an engine are cancelled; calls to a
        plain service are left to end. Repeats until cancelled.
        """
        while True:
            await trio.sleep(1)
            cutoff = trio.current_time() - self._context.retention_seconds
            for request, run in list(self._runs.items()):
                if run.readers or run.last_read_at > cutoff:
                    continue
                self._expire(request, run)

    def _expire(self, request: str, run: Run) -> None:
        if not run.buffer.is_finished:
            if self._context.is_engine:
                run.scope.cancel()
            return
        self._runs.pop(request)
        key = (run.order.account, run.order.idempotency_key)
        if self._runs_by_key.get(key) is run:
            self._runs_by_key.pop(key)

    async def _guard(self, run: Run, step: Callable[[Run], Awaitable[None]]) -> None:
        """Takes a step of a run, which fails alone if the step raises an unexpected error.

        All runs share a nursery: the error would cancel the others and end the process.
        """
        try:
            await step(run)
        except Exception as error:
            _log.error('run_failed', request=run.order.request, reason=repr(error))
            run.buffer.finish(CallFailure(ErrorKind.outcome_unknown, repr(error)))

    async def _resume_stream(self, run: Run) -> None:
        run.buffer.finish(await self._context.endpoint.resume_stream(run.call))

    async def _obtain_response(self, run: Run) -> None:
        if run.order.idempotency_key:
            await self._claim_and_call(run)
            return
        await self._call_endpoint(run)

    async def _call_endpoint(self, run: Run) -> None:
        run.has_called_endpoint = True
        if self._context.is_engine:
            await self._context.endpoint.call_engine(run.call)
            return
        await self._context.endpoint.call_service(run.call)

    async def _claim_and_call(self, run: Run) -> None:
        """Calls the endpoint under a claim, or finishes the run with what the claim returns."""
        claim_result = await self._context.claims.claim(run.order)
        if isinstance(claim_result, CallFailure):
            run.buffer.finish(claim_result)
            return
        if isinstance(claim_result, Replay):
            run.buffer.publish_head(claim_result.head)
            run.buffer.append(claim_result.body)
            run.buffer.finish()
            return
        await self._guard(run, self._call_endpoint)
        self._recording_count += 1
        try:
            await self._record_outcome(run, claim_result)
        finally:
            self._recording_count -= 1

    async def _record_outcome(self, run: Run, claimed: Claimed) -> None:
        failure = run.buffer.failure
        # The slot is freed first, since writing the outcome is retried for as long as the platform
        # is unavailable.
        self._context.scheduler.release(run.slot, completed=failure is None)
        if failure is None:
            head = await run.buffer.wait_head()
            assert not isinstance(head, CallFailure), 'a complete response has a head'
            await self._context.claims.record(claimed, head, run.buffer.content)
            return
        if failure.outcome is ExecutionStatus.no:
            await self._context.claims.release(claimed)
            return
        await self._context.claims.record_unknown(claimed)

    async def _finish(self, run: Run) -> None:
        is_complete = run.buffer.is_complete
        if not run.buffer.is_finished:
            run.buffer.finish(CallFailure(ErrorKind.answer_cut, 'cancelled'))
            if self._context.is_engine:
                await self._context.endpoint.cancel_request(run.call)
        run.last_read_at = max(run.last_read_at, trio.current_time())
        self._record_endpoint_result(run)
        self._context.scheduler.release(run.slot, completed=is_complete)
        result = 'whole' if is_complete else 'failed'
        self._context.metrics.attempts.inc({'pool': run.order.pool, 'result': result})

    def _record_endpoint_result(self, run: Run) -> None:
        """Updates the backoff of the endpoint and the crash verdict on the request.

        A call that certainly did not reach the endpoint does not change its backoff, other than one
        that the endpoint did not take.
        """
        failure = run.buffer.failure
        if not run.has_called_endpoint:
            return
        if failure is not None and failure.kind is ErrorKind.endpoint_unreachable:
            self._context.backoff.record_failure()
            return
        if failure is not None and failure.outcome is ExecutionStatus.no:
            return
        self._context.backoff.record_success()
        if failure is None:
            if run.order.isolated:
                self._context.crashes.clear(run.order.fingerprint)
            return
        if failure.kind is ErrorKind.endpoint_crashed:
            self._context.crashes.record_crash(run.order.fingerprint, alone=run.order.isolated)

    def _create_meter(self, slot: Slot) -> Callable[[float], None]:
        shares = self._context.shares
        metrics = self._context.metrics
        labels = {'account': slot.charge.account}

        def meter(amount: float) -> None:
            shares.meter(slot.charge, amount)
            metrics.cost_units.add(labels, amount)

        return meter
