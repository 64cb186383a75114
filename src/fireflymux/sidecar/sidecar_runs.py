"""Requests that run on the endpoint, and those whose answer is still kept."""

from collections.abc import Callable

import attrs
import trio
from opentelemetry.trace import Tracer

from ..decisions.account_shares import AccountShares
from ..decisions.admission_window import AdmissionWindow
from ..decisions.crash_registry import CrashRegistry
from ..decisions.endpoint_health import EndpointHealth
from ..errors import ErrorKind, Ran, Refused
from ..messages import RunOrder
from ..observability.metrics import Metrics
from ..observability.tracing import start_span
from .answer_buffer import UNLIMITED_BYTES, AnswerBuffer
from .claims import ClaimBook, Claimed, Replay
from .endpoint_call import EndpointCall, EndpointClient
from .grants import GrantScheduler, Slot


@attrs.define(eq=False)
class Run:
    """One attempt of one request.

    Attributes:
        order: Description of the call.
        buffer: Its answer.
        slot: Slot that it uses.
        call: The call to the endpoint.
        scope: Cancels the run.
        readers: Routers that read the answer now.
        last_read_at: Time at which the last reader left, in seconds.
    """

    order: RunOrder
    buffer: AnswerBuffer
    slot: Slot
    call: EndpointCall
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    readers: int = 0
    last_read_at: float = 0.0


@attrs.define(frozen=True, kw_only=True)
class RunContext:
    """What the runs of a sidecar share."""

    scheduler: GrantScheduler
    shares: AccountShares
    window: AdmissionWindow
    claims: ClaimBook
    endpoint: EndpointClient
    metrics: Metrics
    tracer: Tracer
    crashes: CrashRegistry
    health: EndpointHealth
    is_engine: bool
    retention_seconds: float
    maximum_answer_bytes: int


class SidecarRuns:
    """All runs of one sidecar."""

    def __init__(self, context: RunContext) -> None:
        """Starts without runs.

        Args:
            context: What the runs share.
        """
        self._context = context
        self._runs: dict[str, Run] = {}
        self._runs_by_key: dict[tuple[str, str], Run] = {}
        self._recording_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, is read or waits to be recorded."""
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
            The run, or None if it is not or no longer kept.
        """
        run = self._runs.get(request)
        return run if run is not None and run.order.attempt == attempt else None

    def find_idempotent(self, order: RunOrder) -> Run | None:
        """Finds the kept run of the same idempotent call.

        Args:
            order: A call with an idempotency key.

        Returns:
            The run if its body is the same.
        """
        run = self._runs_by_key.get((order.account, order.idempotency_key))
        if run is None or run.order.fingerprint != order.fingerprint:
            return None
        if run.buffer.failure is not None:
            return None
        return run

    def create(self, order: RunOrder, body: bytes, slot: Slot, *, start: int = 0) -> Run:
        """Registers a run.

        Args:
            order: Description of the call.
            body: Its body.
            slot: Slot that it uses.
            start: Offset of its first byte, for an answer that is resumed.

        Returns:
            The run, not yet started.
        """
        # An answer that is recorded must be kept whole.
        limit = UNLIMITED_BYTES if order.idempotency_key else self._context.maximum_answer_bytes
        buffer = AnswerBuffer(start=start, limit_bytes=limit)
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
        """Runs a request to its end and frees its slot.

        Args:
            run: A run made by `create`.
        """
        span = start_span(
            self._context.tracer,
            'sidecar.endpoint',
            run.order.traceparent,
            request=run.order.request,
        )
        try:
            with run.scope:
                await self._dispatch(run)
            await self._finish(run)
        finally:
            span.set_attribute('whole', run.buffer.is_complete)
            span.end()

    async def resume(self, run: Run) -> None:
        """Continues a stream that an earlier incarnation of this sidecar started.

        Args:
            run: A run made by `create` with an offset.
        """
        with run.scope:
            run.buffer.finish(await self._context.endpoint.resume_stream(run.call))
        await self._finish(run)

    async def expire_runs(self) -> None:
        """Drops old runs, and cancels those that nobody reads, until cancelled."""
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

    async def _dispatch(self, run: Run) -> None:
        if run.order.idempotency_key:
            await self._claim_and_send(run)
            return
        await self._call_endpoint(run)

    async def _call_endpoint(self, run: Run) -> None:
        if self._context.is_engine:
            await self._context.endpoint.call_engine(run.call)
            return
        await self._context.endpoint.call_service(run.call)

    async def _claim_and_send(self, run: Run) -> None:
        outcome = await self._context.claims.claim(run.order)
        if isinstance(outcome, Refused):
            run.buffer.finish(outcome)
            return
        if isinstance(outcome, Replay):
            run.buffer.publish_head(outcome.head)
            run.buffer.append(outcome.body)
            run.buffer.finish()
            return
        await self._call_endpoint(run)
        self._recording_count += 1
        try:
            await self._record_outcome(run, outcome)
        finally:
            self._recording_count -= 1

    async def _record_outcome(self, run: Run, claimed: Claimed) -> None:
        failure = run.buffer.failure
        self._context.scheduler.release(run.slot, completed=failure is None)
        if failure is None:
            head = await run.buffer.wait_head()
            assert not isinstance(head, Refused), 'a whole answer has a head'
            await self._context.claims.record(claimed, head, run.buffer.content)
            return
        if failure.outcome is Ran.no:
            await self._context.claims.release(claimed)
            return
        await self._context.claims.record_unknown(claimed)

    async def _finish(self, run: Run) -> None:
        is_complete = run.buffer.is_complete
        if not run.buffer.is_finished:
            run.buffer.finish(Refused(ErrorKind.answer_cut, 'cancelled'))
            if self._context.is_engine:
                await self._context.endpoint.cancel_request(run.call)
        run.last_read_at = max(run.last_read_at, trio.current_time())
        self._record_endpoint_health(run)
        self._context.scheduler.release(run.slot, completed=is_complete)
        result = 'whole' if is_complete else 'failed'
        self._context.metrics.attempts.inc({'pool': run.order.pool, 'result': result})

    def _record_endpoint_health(self, run: Run) -> None:
        failure = run.buffer.failure
        if failure is not None and failure.kind is ErrorKind.endpoint_unreachable:
            self._context.health.record_failure()
            return
        self._context.health.record_success()
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
