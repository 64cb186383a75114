"""Steps for what an entry instance follows: the store, and other instances while it is down."""

import attrs
import trio
from behave import given, then, when

from emulator.entry_fleet import configuration, free_port, route
from features.steps.entry_steps import _put_configuration, _run_on_fleet, _send_calls


@given('two instances, one of which sees the store outage "{outage}"')
def one_without_store(context, outage):
    async def build(fleet):
        for name in ('e0', 'e1'):
            await fleet.add_backend(name, 'pool')
        _put_configuration(fleet, 5, [route('/', 'safe', 'pool')])
        healthy = await fleet.start_store()
        other = await fleet.start_store()
        await fleet.add_instance(healthy)
        await fleet.add_instance(other)
        for number in range(2):
            await fleet.wait_ready(number)
        fleet.turn_away(other, outage)
        context.unavailable_store = other

    context.build = build


@given('an instance whose store does not respond')
def silent_store(context):
    async def build(fleet):
        address = await fleet.start_store()
        fleet.turn_away(address, 'silent')
        await fleet.add_instance(address)

    context.build = build


@when('one of them is draining')
def drain_one(context):
    async def act(fleet):
        fleet.change_endpoint('e0', state='draining')
        await trio.sleep(0.2)
        return await _send_calls(fleet)

    _run_on_fleet(context, act)


@when('entries with missing, wrong or unreadable fields appear in the store')
def add_invalid_entries(context):
    async def act(fleet):
        address = '127.0.0.1:{0}'.format(free_port())
        fleet.store.put('servers', 'x1', b'\xff\x00 no json')
        fleet.store.put('servers', 'x2', {'service': 'pool', 'address': address})
        fleet.announce('x3', 'pool', 'no address')
        fleet.announce('x4', 'pool', address, state='asleep')
        fleet.announce('x5', 'pool', address, batch_slots='8')
        fleet.announce('x6', 'pool', address, sequence=None)
        await trio.sleep(0.2)
        return await _send_calls(fleet)

    _run_on_fleet(context, act)


@when('the store is unavailable and has lost both entries when it recovers')
def lose_entries(context):
    async def act(fleet):
        address = fleet.settings[0].store_address
        # The store drops an entry when three heartbeats of its endpoint, 1.2 s apart, are missing.
        fleet.turn_away(address, 'reset')
        await trio.sleep(3.6)
        fleet.store.remove('servers', 'e0')
        fleet.store.remove('servers', 'e1')
        fleet.turn_away(address, '')
        await trio.sleep(1.0)
        early = await _send_calls(fleet, 2)
        await trio.sleep(2.0)
        return early, await _send_calls(fleet, 2)

    _run_on_fleet(context, act)


def _build_moved_configuration(version):
    routes = [route('/', 'unsafe', 'general'), route('/orders/', 'unsafe', 'general')]
    return configuration(version, routes)


@when('the configuration moves "/orders/" to "general", and an older one follows')
def move_route(context):
    async def act(fleet):
        fleet.store.put('op', 'config', _build_moved_configuration(8))
        await trio.sleep(0.2)
        _put_configuration(fleet, 7, [route('/orders/', 'unsafe', 'orders')])
        await trio.sleep(0.2)
        return await fleet.call('/orders/1')

    _run_on_fleet(context, act)


@when('the store loses its history together with a change of the configuration')
def forget_history(context):
    async def act(fleet):
        fleet.store.put('op', 'config', _build_moved_configuration(8))
        fleet.store.forget_history()
        await trio.sleep(1.5)
        return await fleet.call('/orders/1')

    _run_on_fleet(context, act)


@when('the configuration removes a key and one endpoint drains')
def remove_key(context):
    async def act(fleet):
        accounts = [{'name': 'mothers', 'api_keys': ['new-key'], 'priority': 1}]
        _put_configuration(fleet, 9, [route('/', 'safe', 'pool')], tenants=accounts)
        fleet.change_endpoint('e0', state='draining')
        await trio.sleep(2.0)
        refused = await fleet.call('/a', number=1)
        for backend in fleet.backends.values():
            backend.requests.clear()
        served = await fleet.call('/a', number=1, key='new-key')
        return refused, served

    _run_on_fleet(context, act)


@when('a third instance starts during the outage of the store')
def start_third(context):
    async def act(fleet):
        await fleet.add_instance(context.unavailable_store)
        await fleet.wait_ready(2)
        return await fleet.call('/a', number=2)

    _run_on_fleet(context, act)


@then('requests go to the other one only')
def check_drained(context):
    statuses, runs = context.result
    assert set(statuses) == {200} and runs['e0'] == 0, context.result


@then('requests go to the two endpoints only')
def check_invalid_entries(context):
    statuses, _ = context.result
    assert set(statuses) == {200}, context.result


@then('requests are answered after 1 second, and refused as not run after 2 more')
def check_lost_entries(context):
    early, late = context.result
    assert set(early[0]) == {200}, context.result
    assert set(late[0]) == {503}, context.result


@then('requests to "/orders/1" reach "general"')
def check_moved(context):
    assert context.result.content == b'answer of g', context.result


@then(
    'the instance without the store refuses the key and uses the other endpoint within 2 seconds'
)
def check_learned(context):
    refused, served = context.result
    assert refused.status == 401, refused
    assert served.content == b'answer of e1', served


@then('it becomes ready and answers requests')
def check_third(context):
    assert context.result.status == 200, context.result


@then('it is answered 503 with Retry-After, and the instance is not ready')
def check_unconfigured(context):
    assert context.result.status == 503, context.result
    assert float(context.result.fields['retry-after']) > 0, context.result
    assert context.readiness == 503, context.readiness


@when('one of them has not reported for {seconds:d} seconds')
def stop_reporting(context, seconds):
    async def act(fleet):
        link = fleet.instances[0]._peers
        state = fleet.instances[0]._state
        while not link.heard:
            await trio.sleep(0.05)
        (host,) = link.heard
        state.shares.given.merge('entry-2', {'mothers': 9.0}, trio.current_time())
        state.instances.clear()
        heard = link.heard[host]
        link.heard[host] = attrs.evolve(heard, heard_at=heard.heard_at - seconds)
        link.forget_silent()
        return host in link.list_hosts(), state.shares.given.total('mothers', 0.0)

    _run_on_fleet(context, act)


@then('the other one sends it no reports and keeps nothing of what it reported')
def check_forgotten(context):
    assert context.result == (False, 0.0), context.result
