"""Steps for the instances that follow the store's tables, and for the number of store calls."""

import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.caller_exchange import KEY
from emulator.entry_fleet import configuration, open_fleet, route
from fireflymux.decisions.followers import is_follower

_REPRODUCIBLE_SETTINGS = hypothesis_settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
_NEW_KEY = 'new-key'


def _choose_followers(fleet, turned_away):
    fresh = {host for host in fleet if host not in turned_away}
    chosen = set()
    for host, domain in fleet.items():
        neighbours = [other for other in fresh if other != host and fleet[other] == domain]
        if is_follower(host, neighbours, is_anyone_fresh=bool(fresh - {host})):
            chosen.add(host)
    return chosen


@when(
    'instances of any failure domains receive reports of each other, and the store turns some of them away'
)
def generate_fleets(context):
    @_REPRODUCIBLE_SETTINGS
    @generate(
        strategies.lists(strategies.sampled_from('abc'), min_size=1, max_size=12),
        strategies.sets(strategies.integers(0, 11)),
    )
    def run(domains, turned_away_numbers):
        fleet = {
            '10.0.0.{0}'.format(number): domain for number, domain in enumerate(domains, start=1)
        }
        hosts = list(fleet)
        turned_away = {hosts[number] for number in turned_away_numbers if number < len(hosts)}
        chosen = _choose_followers(fleet, turned_away)
        served = chosen - turned_away
        for domain in set(domains):
            served_hosts = {
                host for host, other_domain in fleet.items() if other_domain == domain
            } - turned_away
            served_followers = {host for host in served if fleet[host] == domain}
            assert len(served_followers) == min(2, len(served_hosts)), (fleet, turned_away, chosen)
        if len(turned_away) == len(fleet):
            assert chosen == set(fleet)

    run()


@then('two instances of each failure domain follow the store, or all if the store answers none')
def check_followers(context):
    """The When step asserts it for each generated case."""


@given('{count:d} instances of one failure domain')
def set_instance_count(context, count):
    context.count = count


async def _start_instances(fleet, count):
    for name in ('e0', 'e1'):
        await fleet.add_backend(name, 'pool')
    fleet.store.put('op', 'config', configuration(5, [route('/', 'safe', 'pool')]))
    addresses = [await fleet.start_store() for _ in range(count)]
    for address in addresses:
        await fleet.add_instance(address)
    for number in range(count):
        await fleet.wait_ready(number)
    await trio.sleep(1)
    return addresses


def _list_followers(fleet):
    return [
        number
        for number, instance in enumerate(fleet.instances)
        if instance._peers.is_store_follower()
    ]


async def _apply_changes_and_call(fleet, count):
    routes = [route('/', 'safe', 'pool')]
    accounts = [{'name': 'mothers', 'api_keys': [_NEW_KEY]}]
    fleet.store.put('op', 'config', configuration(9, routes, tenants=accounts))
    fleet.change_endpoint('e0', state='draining')
    await trio.sleep(1.5)
    refused = [(await fleet.call('/a', number=number, key=KEY)).status for number in range(count)]
    for backend in fleet.backends.values():
        backend.requests.clear()
    served = [
        (await fleet.call('/a', number=number, key=_NEW_KEY)).status for number in range(count)
    ]
    return refused, served, len(fleet.backends['e0'].requests)


@when('they run for {seconds:d} seconds, and then an API key is revoked and an endpoint drains')
def run_then_apply_changes(context, seconds):
    async def run():
        with trio.fail_after(40):
            async with open_fleet() as fleet:
                await _start_instances(fleet, context.count)
                before = fleet.store.calls
                await trio.sleep(seconds)
                calls = fleet.store.calls - before
                return (
                    calls,
                    _list_followers(fleet),
                    await _apply_changes_and_call(fleet, context.count),
                )

    context.calls, context.followers, context.call_results = trio.run(run)


@when(
    'the store is "{outage}" for its followers, and then an API key is revoked and an '
    'endpoint drains'
)
def fail_store_for_followers(context, outage):
    async def run():
        with trio.fail_after(40):
            async with open_fleet() as fleet:
                addresses = await _start_instances(fleet, context.count)
                context.followers = _list_followers(fleet)
                for number in context.followers:
                    fleet.turn_away(addresses[number], outage)
                # The outage does not affect long-poll calls that are pending; wait for their end.
                await trio.sleep(5)
                return await _apply_changes_and_call(fleet, context.count)

    context.call_results = trio.run(run)


@then("two of them followed the store's tables, with at most {most:d} calls")
def check_followers_and_calls(context, most):
    assert len(context.followers) == 2, context.followers
    assert context.calls <= most, context.calls


@then('all refuse the revoked key and use only the other endpoint within 1.5 seconds')
def check_applied_changes(context):
    refused, served, drained = context.call_results
    assert set(refused) == {401}, refused
    assert set(served) == {200}, served
    assert drained == 0, drained
