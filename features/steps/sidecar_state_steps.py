"""Steps for the state that a sidecar keeps of its endpoint and its slots."""

import trio
from behave import given, then, when

from fireflymux.decisions.account_shares import AccountShares
from fireflymux.decisions.admission_window import AdmissionWindow
from fireflymux.decisions.reservations import Reservations
from fireflymux.observability.metrics import Metrics
from fireflymux.sidecar.grants import GrantScheduler, SidecarIdentity


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
