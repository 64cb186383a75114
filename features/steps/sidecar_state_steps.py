"""Steps for the state that a sidecar keeps of its endpoint and its slots."""

import trio
from behave import given, then, when

from features.steps.role_responses_steps import build_order
from fireflymux.decisions.account_shares import AccountShares
from fireflymux.decisions.admission_window import AdmissionWindow
from fireflymux.decisions.crash_registry import CrashRegistry
from fireflymux.decisions.endpoint_backoff import EndpointBackoff
from fireflymux.decisions.reservations import Reservations
from fireflymux.errors import CallFailure, ErrorKind
from fireflymux.observability.metrics import Metrics
from fireflymux.observability.tracing import create_tracer
from fireflymux.sidecar.claims import Claimed, Replay
from fireflymux.sidecar.grants import GrantScheduler, SidecarIdentity
from fireflymux.sidecar.response_buffer import ResponseHead
from fireflymux.sidecar.sidecar_runs import RunContext, SidecarRuns


def build_scheduler(slots=4):
    def clock():
        return 0.0

    return GrantScheduler(
        SidecarIdentity(sidecar_id='sidecar', pool='pool'),
        shares=AccountShares('pool', lambda _: 1.0, clock=clock, idle_seconds=1),
        reservations=Reservations(clock=clock, expiry_seconds=1),
        window=AdmissionWindow(slots, target_seconds=1, clock=clock),
        check_admission=lambda: None,
        send_offer=None,
        metrics=Metrics(),
    )


@given('the slots of a sidecar whose endpoint runs a request')
def prepare_slots(context):
    context.scheduler = build_scheduler()
    context.scheduler.admit('families', '')


@when('a router sends a suspect and leaves before the endpoint is idle')
def leave_while_waiting(context):
    async def run():
        with trio.move_on_after(0.05):
            await context.scheduler.admit_isolated('families')

    trio.run(run)


@then('the sidecar offers its other slots again')
def check_free_slots(context):
    assert context.scheduler.free_slots == 3, context.scheduler.free_slots


class _Endpoint:
    async def call_service(self, _call):
        raise RuntimeError('nobody expects this')


class _Claims:
    """Returns a prepared result of a claim, and notes which outcome is recorded."""

    def __init__(self, result):
        self.result = result
        self.recorded = []

    async def claim(self, _order):
        return self.result

    async def record_unknown(self, claimed):
        self.recorded.append(claimed)


def _prepare_runs(context, result):
    context.now = 0.0
    context.claims = _Claims(result)
    context.scheduler = build_scheduler()
    context.backoff = EndpointBackoff(clock=lambda: context.now)
    context.runs = SidecarRuns(
        RunContext(
            scheduler=context.scheduler,
            shares=context.scheduler._shares,
            window=context.scheduler._window,
            claims=context.claims,
            endpoint=_Endpoint(),
            metrics=Metrics(),
            tracer=create_tracer('', instance='sidecar'),
            crashes=CrashRegistry(clock=lambda: context.now),
            backoff=context.backoff,
            is_engine=False,
            retention_seconds=1,
            maximum_answer_bytes=1000,
        )
    )


@given('the runs of a sidecar whose endpoint took no call, and claims that return {claim}')
def prepare_backoff(context, claim):
    results = {
        'a replay': Replay(ResponseHead(200, 'text/plain'), b'recorded'),
        'a refusal': CallFailure(ErrorKind.call_in_progress),
    }
    _prepare_runs(context, results[claim])
    context.backoff.record_failure()
    context.first_backoff = context.backoff.until
    context.now = context.backoff.until


@given('the runs of a sidecar whose client raises an error that nobody expects')
def prepare_error(context):
    _prepare_runs(context, Claimed('key', 1, None))


@when('a call with a key runs and the endpoint takes no call again')
def run_and_fail(context):
    run_call(context)
    context.backoff.record_failure()


@when('a call with a key runs')
def run_call(context):
    slot = context.scheduler.admit('families', '')
    context.run = context.runs.create(build_order(idempotency_key='key'), b'', slot)
    trio.run(context.runs.execute, context.run)


@then('the backoff of the endpoint is twice as long')
def check_backoff(context):
    assert context.backoff.until - context.now == 2 * context.first_backoff


@then('its outcome is unknown, and is recorded so, and its slot is free')
def check_run(context):
    assert context.run.buffer.failure.kind is ErrorKind.outcome_unknown, context.run.buffer.failure
    assert context.claims.recorded == [context.claims.result]
    assert context.scheduler.free_slots == 4, context.scheduler.free_slots
