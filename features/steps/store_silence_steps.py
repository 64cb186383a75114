"""Steps for changes that are confirmed around a silence of the store."""

import trio
from behave import given, then, when

from emulator.caller_exchange import KEY
from emulator.entry_fleet import configuration, open_fleet, route

_NEW_KEY = 'new-key'
_NEW_DOMAIN = 'b'
_APPLY_SECONDS = 2.0
_CHECK_SECONDS = 0.02
#: Time in which the followers send their calls again after a change, batches included.
_SETTLE_SECONDS = 0.5
_LATE_SECONDS = 8.0


def _put_configuration(fleet, version, key):
    routes = [route('/', 'safe', 'pool')]
    accounts = [{'name': 'mothers', 'api_keys': [key]}]
    fleet.store.put('op', 'config', configuration(version, routes, tenants=accounts))


async def _start(fleet, addresses, domains):
    for name in ('e0', 'e1', 'e2'):
        await fleet.add_backend(name, 'pool', zone=_NEW_DOMAIN if name == 'e2' else 'a')
    _put_configuration(fleet, 5, KEY)
    for address, domain in zip(addresses, domains, strict=True):
        await fleet.add_instance(address, failure_domain=domain)
    for number in range(len(addresses)):
        await fleet.wait_ready(number)
    await trio.sleep(1)
    # Both tables change, so that all calls for changes are sent at the same time.
    _put_configuration(fleet, 6, KEY)
    fleet.change_endpoint('e0', sequence=2, batch_slots=9)
    await trio.sleep(_SETTLE_SECONDS)


def _change_everything(fleet):
    _put_configuration(fleet, 9, _NEW_KEY)
    fleet.change_endpoint('e0', state='draining')
    fleet.evacuate(_NEW_DOMAIN)


def _find_missing(instance):
    """Returns what an instance does not know yet of the changes."""
    state = instance._state
    is_leaving = {
        live.endpoint.identifier: live.endpoint.is_leaving for live in state.list_endpoints()
    }
    domains = state.candidates.evacuations.list_domains(trio.current_time())
    known = {
        'configuration': state.configuration_version == 9,
        'endpoint': is_leaving['e0'],
        'evacuation': _NEW_DOMAIN in domains,
    }
    return [name for name, is_known in known.items() if not is_known]


async def _measure_seconds(fleet):
    """Returns the seconds until each instance knew each change; the limit where it did not."""
    started = trio.current_time()
    seconds = {}
    missing = True
    while missing and trio.current_time() < started + _LATE_SECONDS:
        missing = {
            (number, name)
            for number, instance in enumerate(fleet.instances)
            for name in _find_missing(instance)
        }
        seconds.update(dict.fromkeys(missing, round(trio.current_time() - started, 2)))
        await trio.sleep(_CHECK_SECONDS)
    return seconds


@given('{count:d} instances, each alone in its failure domain')
def set_lone_instances(context, count):
    context.domains = ['domain-{0}'.format(number) for number in range(count)]


@when('the store is silent for {seconds:f} seconds, and everything changes as it answers again')
def silence_store(context, seconds):
    async def run():
        with trio.fail_after(40):
            async with open_fleet() as fleet:
                address = await fleet.start_store()
                await _start(fleet, [address] * len(context.domains), context.domains)
                fleet.turn_away(address, 'silent' if seconds else '')
                fleet.lose_answers(address)
                await trio.sleep(seconds)
                fleet.turn_away(address, '')
                fleet.lose_answers(address)
                _change_everything(fleet)
                return await _measure_seconds(fleet)

    context.seconds = trio.run(run)


@given('{count:d} instances of one failure domain, two of which follow the store')
def set_one_domain(context, count):
    context.domains = ['a'] * count


@when('the answers to the followers are lost for good and everything changes')
def silence_followers(context):
    async def run():
        with trio.fail_after(40):
            async with open_fleet() as fleet:
                addresses = [await fleet.start_store() for _ in context.domains]
                await _start(fleet, addresses, context.domains)
                followers = [
                    number
                    for number, instance in enumerate(fleet.instances)
                    if instance._peers.is_store_follower()
                ]
                assert len(followers) == 2, followers
                for number in followers:
                    fleet.turn_away(addresses[number], 'silent')
                    fleet.lose_answers(addresses[number])
                _change_everything(fleet)
                return await _measure_seconds(fleet)

    context.seconds = trio.run(run)


@then('every change is in force at all instances within 2 seconds')
def check_seconds(context):
    late = {what: known for what, known in context.seconds.items() if known > _APPLY_SECONDS}
    assert not late, context.seconds


@given('a store that takes {seconds:f} seconds for each answer')
def set_slow_store(context, seconds):
    context.answer_seconds = seconds


@when('an instance follows it for {seconds:d} seconds')
def follow_slow_store(context, seconds):
    async def run():
        with trio.fail_after(40):
            async with open_fleet() as fleet:
                address = await fleet.start_store()
                await _start(fleet, [address], ['a'])
                fleet.store.answer_seconds = context.answer_seconds
                before = fleet.store.calls
                await trio.sleep(seconds)
                calls = fleet.store.calls - before
                _change_everything(fleet)
                return calls, await _measure_seconds(fleet)

    context.calls, context.seconds = trio.run(run)


@then('at most {most:d} calls were made and everything that changed is in force')
def check_calls(context, most):
    assert context.calls <= most, context.calls
    check_seconds(context)
