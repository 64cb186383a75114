"""Steps for a store that is restored from a copy."""

import trio
from behave import then, when

from emulator.entry_fleet import configuration, open_fleet, route
from features.steps.entry_steps import _run_on_fleet, _send_calls
from fireflymux.decisions.membership import Endpoint, Membership
from fireflymux.platform.store import StoreClient
from fireflymux.platform.store_rows import StoreUnavailable

_NEW_KEY = 'new-key'
_TABLE = 'fireflymux-instances'


def _write_other_rows(fleet, changes):
    for number in range(changes):
        fleet.store.put('other', 'row', {'number': number})


async def _find_used_endpoint(fleet, number=0):
    """Returns the endpoint that receives calls that are made one at a time."""
    _, runs = await _send_calls(fleet, 1, number)
    return max(runs, key=runs.get)


@when('one of them drains and the store is restored from an earlier copy')
def drain_and_restore(context):
    async def act(fleet):
        used = await _find_used_endpoint(fleet)
        copied_state = fleet.store.take_backup()
        fleet.change_endpoint(used, state='draining')
        await trio.sleep(0.3)
        fleet.store.restore_backup(copied_state)
        await trio.sleep(1.0)
        return used, await _send_calls(fleet)

    _run_on_fleet(context, act)


@when(
    'the store is restored from a copy {changes:d} changes old, and an endpoint and an API '
    'key are added'
)
def restore_and_change(context, changes):
    async def act(fleet):
        copied_state = fleet.store.take_backup()
        _write_other_rows(fleet, changes)
        if changes:
            # A change of the endpoints, too, so that the instance has a later version of
            # both tables.
            fleet.change_endpoint('e0', sequence=3)
        await trio.sleep(0.3)
        fleet.store.restore_backup(copied_state)
        # These writes may raise the version numbers past those that the instance knows before it
        # asks again, so that the numbers alone do not show that the store was restored.
        await fleet.add_backend('e2', 'pool')
        for name in ('e0', 'e1'):
            fleet.change_endpoint(name, state='draining')
        accounts = [{'name': 'mothers', 'api_keys': [_NEW_KEY], 'priority': 1}]
        routes = [route('/', 'safe', 'pool')]
        fleet.store.put('op', 'config', configuration(9, routes, tenants=accounts))
        await trio.sleep(1.0)
        reply = await fleet.call('/a', key=_NEW_KEY)
        return reply.status, len(fleet.backends['e2'].requests)

    _run_on_fleet(context, act)


@then('the new endpoint and the new API key are used within a second')
def check_changes_used(context):
    assert context.result == (200, 1), context.result


@when('the store is restored from a copy {changes:d} changes old and one endpoint drains')
def restore_and_drain(context, changes):
    async def act(fleet):
        used = await _find_used_endpoint(fleet, 1)
        copied_state = fleet.store.take_backup()
        _write_other_rows(fleet, changes)
        fleet.change_endpoint(used, sequence=3)
        await trio.sleep(0.5)
        fleet.store.restore_backup(copied_state)
        await trio.sleep(0.5)
        fleet.change_endpoint(used, state='draining')
        await trio.sleep(1.5)
        return used, await _send_calls(fleet, number=1)

    _run_on_fleet(context, act)


@then('the endpoint that drained gets no more requests, and the other one answers')
def check_drained(context):
    used, (statuses, runs) = context.result
    assert set(statuses) == {200}, statuses
    assert not runs[used], runs


@when('the store is restored from a copy made before the instance registered')
def restore_without_row(context):
    async def act(fleet):
        number, rows = fleet.store.take_backup()
        rows.pop(_TABLE)
        fleet.store.restore_backup((number, rows))
        with trio.move_on_after(1.0):
            while not fleet.store.keys(_TABLE):
                await trio.sleep(0.05)
        return fleet.store.keys(_TABLE)

    _run_on_fleet(context, act)


@then('it is registered again within a second')
def check_registered(context):
    assert context.result == ['entry-1'], context.result


def _build_endpoint(identifier):
    return Endpoint(
        identifier=identifier,
        service='pool',
        host='127.0.0.1',
        port=1,
        failure_domain='a',
        slots=8,
        is_leaving=False,
        incarnation=7,
    )


@when('an endpoint has disappeared, and the list of a new era contains it again')
def list_endpoint_again(context):
    removed, kept = _build_endpoint('e0'), _build_endpoint('e1')

    def list_over_time(*, is_put_again):
        members = Membership()
        members.replace([removed, kept], 0.0, era=0)
        members.remove('e0', 1.0)
        members.replace([removed, kept], 2.0, era=1)
        if is_put_again:
            members.put(removed, 3.0)
        listed_at = {}
        for now in (2.0, 4.0, 7.9, 8.1):
            members.expire(now)
            listed_at[now] = sorted(members.list_endpoints())
        return listed_at

    context.listed_from_copy, context.listed_after_put = (
        list_over_time(is_put_again=False),
        list_over_time(is_put_again=True),
    )


@then('it is out of use for 6 s, unless the store lists it anew')
def check_listed_endpoints(context):
    assert context.listed_from_copy[7.9] == ['e1'], context.listed_from_copy
    assert context.listed_from_copy[8.1] == ['e0', 'e1'], context.listed_from_copy
    assert context.listed_after_put[4.0] == ['e0', 'e1'], context.listed_after_put


@when(
    'the entry of an endpoint disappears around an outage, and the endpoint then says that '
    'it is leaving'
)
def remove_and_leave(context):
    members = Membership()
    endpoint = _build_endpoint('e0')
    members.replace([endpoint], 0.0)
    members.record_outage(1.0)
    members.remove('e0', 1.1)
    members.mark_leaving(endpoint.number, 1.2)
    context.leaving = members.list_leaving()
    members.expire(3.0)
    context.listed = list(members.list_endpoints())
    context.number = endpoint.number


@then('it counts as leaving immediately, and is dropped if its entry does not return')
def check_dropped(context):
    assert context.leaving == [context.number], context.leaving
    assert not context.listed, context.listed


@when('the store answers a call late with an older era')
def answer_with_older_era(context):
    async def run():
        async with open_fleet() as fleet:
            fleet.store.era = 2
            client = StoreClient(await fleet.start_store())
            await client.read_table('op')
            fleet.store.era = 1
            try:
                await client.read_table('op')
            except StoreUnavailable as error:
                return client.era, str(error)
            return client.era, ''

    context.late_result = trio.run(run)


@then('the call fails as unanswered, and the newer era stays in force')
def check_late_response(context):
    era, error = context.late_result
    assert era == 2, era
    assert error, 'the late response was accepted'
