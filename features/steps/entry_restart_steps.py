"""Steps for entry instances that start during an outage, or resume after a pause."""

import random

import trio
import trio.testing
from behave import given, then, when

from emulator.caller_exchange import KEY
from emulator.entry_fleet import configuration, route
from features.steps.entry_steps import _run_on_fleet
from fireflymux._settings_generated import EntrySettings
from fireflymux.decisions.engine_choice import Placement
from fireflymux.decisions.waiting import WaitingRequest
from fireflymux.entry.service_queue import ServiceQueue
from fireflymux.entry.state import EntryState

_NEW_KEY = 'new-key'
_ADDRESS = '127.0.0.1:1'


@given('two instances, of which the first has an old state and takes no reports')
def one_with_old_state(context):
    async def build(fleet):
        for name in ('e0', 'e1'):
            await fleet.add_backend(name, 'pool')
        routes = [route('/', 'safe', 'pool')]
        fleet.store.put('op', 'config', configuration(5, routes))
        addresses = [await fleet.start_store(), await fleet.start_store()]
        fleet.turn_away(addresses[0], 'silent')
        for address in addresses:
            await fleet.add_instance(address)
        for number in range(2):
            await fleet.wait_ready(number)
        # The first instance drops the reports of the others from here on.
        fleet.instances[0]._peers.apply_report = lambda _report, **_origin: None
        fleet.instances[0]._peers.heard.clear()
        accounts = [{'name': 'mothers', 'api_keys': [_NEW_KEY]}]
        fleet.store.put('op', 'config', configuration(9, routes, tenants=accounts))
        fleet.change_endpoint('e0', state='draining')
        await trio.sleep(0.5)
        assert fleet.instances[0]._state.configuration_version == 5
        assert fleet.instances[1]._state.configuration_version == 9
        context.unavailable_store = addresses[0]

    context.build = build


@when('a third instance that knows only the first one starts during the outage of the store')
def start_third(context):
    async def act(fleet):
        await fleet.add_instance(context.unavailable_store)
        state = fleet.instances[2]._state
        while not state.is_ready:
            await trio.sleep(0)
        versions = (state.configuration_version, state.members_version)
        for backend in fleet.backends.values():
            backend.requests.clear()
        with_removed_key = await fleet.call('/a', number=2, key=KEY)
        served = [await fleet.call('/a', number=2, key=_NEW_KEY) for _ in range(4)]
        newest = fleet.instances[1]._state
        return (
            versions,
            (newest.configuration_version, newest.members_version),
            with_removed_key,
            served,
        )

    _run_on_fleet(context, act)


@then(
    'it is ready with the newest configuration and uses neither the removed key'
    ' nor the drained endpoint'
)
def check_third(context):
    versions, newest, with_removed_key, served = context.result
    assert versions == newest, (versions, newest)
    assert with_removed_key.status == 401, with_removed_key
    assert {reply.status for reply in served} == {200}, served
    assert not context.entry_fleet.backends['e0'].requests


def _build_waiting_request(**changes):
    return WaitingRequest(
        account='mothers',
        parts=(),
        prompt_tokens=0,
        output_tokens=0,
        arrived_at=0.0,
        target_seconds=1.0,
        is_caller_retry=False,
        excluded=set(),
        **changes,
    )


def _build_state():
    settings = EntrySettings(
        name='entry-1',
        failure_domain='a',
        caller_address=_ADDRESS,
        readiness_address=_ADDRESS,
        peer_host='127.0.0.1',
        peer_port=1,
        store_address=_ADDRESS,
    )
    return EntryState(settings, random.Random(1))


@when(
    'an instance is paused for {pause:d} s as a request with {left:d} s left arrives,'
    ' and an endpoint is free'
)
def pause_at_arrival(context, pause, left):
    clock = trio.testing.MockClock()

    async def run():
        state = _build_state()
        queue = ServiceQueue(state, lambda _waiting: Placement(7, 100))
        now = trio.current_time()
        waiting = _build_waiting_request(placement_deadline=now + left)
        clock.jump(pause)
        return [await queue.place(waiting, until=now + 0.25)], state.loads.total(7)

    context.after_pause = trio.run(run, clock=clock)


@then('the request is placed')
def check_placed(context):
    placed, load = context.after_pause
    assert placed == [True], placed
    assert (load.pending_tokens, load.running) == (100, 1), load


@when('an instance is paused while a request waits, and an endpoint is free when it resumes')
def pause_while_waiting(context):
    clock = trio.testing.MockClock()

    async def run():
        state = _build_state()
        placements = []
        queue = ServiceQueue(state, lambda _waiting: placements[0] if placements else None)
        placed = []

        async def place():
            placed.append(
                await queue.place(_build_waiting_request(), until=trio.current_time() + 0.25)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(place)
            await trio.testing.wait_all_tasks_blocked()
            clock.jump(5)
            placements.append(Placement(7, 100))
            # Events that occurred during the pause are handled before the request's timeout.
            queue.dispatch()
        return placed, state.loads.total(7)

    context.after_pause = trio.run(run, clock=clock)


@then('the request is not placed, and the endpoint carries no load of it')
def check_not_placed(context):
    placed, load = context.after_pause
    assert placed == [False], placed
    assert (load.pending_tokens, load.running) == (0, 0), load
