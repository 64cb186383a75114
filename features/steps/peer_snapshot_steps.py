"""Steps for snapshots that are fetched from peers, some of which take the call and hang."""

from unittest import mock

import trio
from behave import given, then, when

from emulator.entry_fleet import configuration, open_fleet, route
from fireflymux.entry.peer_snapshot import PeerSnapshots

_APPLY_SECONDS = 2.0
_CHECK_SECONDS = 0.02


@given('an instance that the store turns away and {count:d} peers of its failure domain that hang')
def set_hanging(context, count):
    context.hanging = count


def _put_configuration(fleet, version):
    fleet.store.put('op', 'config', configuration(version, [route('/', 'safe', 'pool')]))


async def _start(fleet, hanging):
    """Starts the instance, the peers that will hang, and one of another failure domain."""
    own_address = await fleet.start_store()
    address = await fleet.start_store()
    await fleet.add_backend('e0', 'pool')
    _put_configuration(fleet, 5)
    await fleet.add_instance(own_address)
    for _ in range(hanging):
        await fleet.add_instance(address)
    await fleet.add_instance(address, failure_domain='b')
    for number in range(len(fleet.instances)):
        await fleet.wait_ready(number)
    await trio.sleep(1.5)
    fleet.turn_away(own_address, 'busy')
    fleet.lose_answers(own_address)
    await trio.sleep(1.5)


async def _measure(hanging):
    hung = set()
    answer = PeerSnapshots.handle_request

    async def answer_or_hang(snapshots, request, writer):
        if id(snapshots) in hung:
            await trio.sleep_forever()
        await answer(snapshots, request, writer)

    with mock.patch.object(PeerSnapshots, 'handle_request', answer_or_hang):
        async with open_fleet() as fleet:
            await _start(fleet, hanging)
            hung.update(id(peer._snapshots) for peer in fleet.instances[1 : hanging + 1])
            _put_configuration(fleet, 9)
            started = trio.current_time()
            state = fleet.instances[0]._state
            while state.configuration_version < 9 and trio.current_time() < started + 6:
                await trio.sleep(_CHECK_SECONDS)
            return trio.current_time() - started


@when('the configuration changes, and one peer of another failure domain answers')
def change(context):
    async def run():
        with trio.fail_after(30):
            return await _measure(context.hanging)

    context.seconds = trio.run(run)


@then('the instance has the change in force within 2 seconds')
def check(context):
    assert context.seconds <= _APPLY_SECONDS, context.seconds
