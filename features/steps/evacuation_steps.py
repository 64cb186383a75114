"""Steps for evacuated failure domains, and for requests that are limited to regions."""

import itertools
import socket

import orjson
import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.caller_exchange import KEY, exchange
from emulator.entry_fleet import route
from features.steps.entry_steps import (
    _put_configuration,
    _run_on_fleet,
    _send_calls,
    _wait_for_reports,
)
from fireflymux._messages_generated import PeerNotice
from fireflymux.decisions.evacuations import EvacuationList, Evacuations
from fireflymux.decisions.store_version import StoreVersion
from fireflymux.entry.peer_notices import encode_notice

#: Statuses of calls by outcome; a failure is that of an endpoint, or of the retry after it.
_STATUSES = {'answered': {200}, 'failed': {500, 502}, 'refused': {503}}


@given(
    'two instances, of which the second cannot read the store, and endpoints in two failure domains'
)
def two_domains(context):
    async def build(fleet):
        await fleet.add_backend('in-a', 'pool', zone='a')
        await fleet.add_backend('in-b', 'pool', zone='b')
        _put_configuration(fleet, 5, [route('/', 'safe', 'pool')])
        healthy = await fleet.start_store()
        other = await fleet.start_store()
        # Both prefer the endpoint that is evacuated.
        for address in (healthy, other):
            await fleet.add_instance(address, failure_domain='b')
        for number in range(2):
            await fleet.wait_ready(number)
        fleet.turn_away(other, 'busy')
        context.unavailable_store = other

    context.build = build


async def _send_calls_in_turn(fleet):
    """Sends calls to one instance after the other, each time with no requests in the reports."""
    results = []
    for number in range(2):
        await _wait_for_reports(fleet)
        results.append(await _send_calls(fleet, number=number))
    return results


@when('failure domain "b" is evacuated, and later the evacuation is taken back')
def evacuate(context):
    async def act(fleet):
        before = await _send_calls_in_turn(fleet)
        fleet.evacuate('b')
        await trio.sleep(0.6)
        during = await _send_calls_in_turn(fleet)
        fleet.end_evacuation('b')
        await trio.sleep(0.6)
        after = await _send_calls_in_turn(fleet)
        return before, during, after

    _run_on_fleet(context, act)


@then('its endpoint gets nothing from either instance meanwhile, and requests again after that')
def check_evacuated(context):
    before, during, after = context.result
    for statuses, _ in itertools.chain(*context.result):
        assert set(statuses) == {200}, statuses
    assert all(runs['in-b'] for _, runs in before), before
    assert not any(runs['in-b'] for _, runs in during), during
    assert all(runs['in-b'] for _, runs in after), after


@when('failure domain "b" is evacuated and a further instance starts that cannot read the store')
def evacuate_and_start(context):
    async def act(fleet):
        fleet.evacuate('b')
        await trio.sleep(4.0)
        # By now the change itself is not told any more.
        await fleet.add_instance(context.unavailable_store, failure_domain='b')
        await fleet.wait_ready(2)
        return [await _send_calls(fleet, number=2)]

    _run_on_fleet(context, act)


@then('the endpoint of that failure domain gets nothing from the further instance')
@then('its endpoint gets nothing from either instance')
def check_nothing(context):
    for statuses, runs in context.result:
        assert set(statuses) == {200}, statuses
        assert not runs['in-b'], runs


@when('failure domain "b" is evacuated and the store is restored from a copy made before')
def evacuate_and_restore(context):
    async def act(fleet):
        copied_state = fleet.store.take_backup()
        fleet.evacuate('b')
        await trio.sleep(0.6)
        fleet.store.restore_backup(copied_state)
        await trio.sleep(1.0)
        return [await _send_calls(fleet, number=number) for number in range(2)]

    _run_on_fleet(context, act)


@when('failure domain "b" is evacuated while the second instance gets no datagrams for 4 s')
def evacuate_unheard(context):
    async def act(fleet):
        link = fleet.instances[1]._peers
        original = link._handle_received
        link._handle_received = lambda *_arguments: None
        fleet.evacuate('b')
        await trio.sleep(4.0)
        link._handle_received = original
        await trio.sleep(1.5)
        return [await _send_calls(fleet, number=number) for number in range(2)]

    _run_on_fleet(context, act)


@when('an instance gets a notice with half an entry, and failure domain "b" is evacuated')
def send_senseless_notice(context):
    async def act(fleet):
        notice = PeerNotice(
            kind='notice', instance='x', op_era=0, op_version=0, evacuated=[], warming=[7]
        )
        settings = fleet.settings[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(encode_notice(notice), (settings.peer_host, settings.peer_port))
        await trio.sleep(0.1)
        fleet.evacuate('b')
        await trio.sleep(0.6)
        return [await _send_calls(fleet, number=number) for number in range(2)]

    _run_on_fleet(context, act)


@when('both failure domains are evacuated')
def evacuate_all(context):
    async def act(fleet):
        for failure_domain in 'ab':
            fleet.evacuate(failure_domain)
        await trio.sleep(0.6)
        started = trio.current_time()
        reply = await fleet.call('/a')
        return reply, trio.current_time() - started, await _send_calls(fleet)

    _run_on_fleet(context, act)


@then('requests are refused as not run within 50 ms, with a time to come back')
def check_refused_at_once(context):
    reply, seconds, (_, runs) = context.result
    assert reply.status == 503 and float(reply.fields['retry-after']) > 0, reply
    assert seconds <= 0.05, seconds
    assert not any(runs.values()), runs


@when('lists of evacuations arrive in any order, some of them more than once')
def apply_any_order(context):
    failures = []

    @hypothesis_settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @generate(
        strategies.lists(strategies.frozensets(strategies.sampled_from('abcd')), min_size=1),
        strategies.lists(strategies.integers(0, 50), min_size=1, max_size=30),
    )
    def check(states, order):
        lists = [
            EvacuationList(version=StoreVersion(0, number + 1), domains=domains)
            for number, domains in enumerate(states)
        ]
        evacuations = Evacuations()
        newest = -1
        for index in (number % len(lists) for number in order):
            newest = max(newest, index)
            evacuations.replace(lists[index], now=0)
            if evacuations.list_domains(0) != lists[newest].domains:
                failures.append((states, order))

    check()
    context.result = failures


@then('the newest one holds after each')
def check_newest(context):
    assert not context.result, context.result[:2]


@when('an instance of an earlier version asks for a snapshot')
def ask_as_earlier_version(context):
    async def act(fleet):
        settings = fleet.settings[0]
        reply = await exchange(
            '{0}:{1}'.format(settings.peer_host, settings.peer_port),
            b'GET /v1/snapshot?config_version=0 HTTP/1.1\r\nHost: x\r\n\r\n',
        )
        return orjson.loads(reply.content)

    _run_on_fleet(context, act)


@then('the snapshot has the fields that it knows, and no others')
def check_fields(context):
    assert set(context.result) == {
        'config_row',
        'config_version',
        'members',
        'members_era',
        'members_version',
        'leaving',
        'instances',
    }, set(context.result)


@given(
    'a route limited to "{of_route}" and an account limited to "{of_account}",'
    ' and endpoints in two regions'
)
@given(
    'a route limited to "" and an account limited to "{of_account}", and endpoints in two regions'
)
@given(
    'a route limited to "{of_route}" and an account limited to "", and endpoints in two regions'
)
def two_regions(context, of_route='', of_account=''):
    async def build(fleet):
        for domain in ('a', 'b', 'c', 'd'):
            await fleet.add_backend('in-{0}'.format(domain), 'pool', zone=domain)
        account = {'name': 'mothers', 'api_keys': [KEY], 'priority': 1}
        if of_account:
            account['allowed_regions'] = [of_account]
        regions = {'allowed_regions': [of_route]} if of_route else {}
        _put_configuration(
            fleet,
            5,
            [route('/', 'safe', 'pool', max_attempts=4, **regions)],
            tenants=[account],
        )
        address = await fleet.start_store()
        await fleet.add_instance(address, regions='a=north,b=north,c=south,d=south')
        await fleet.wait_ready()

    context.build = build


@when('calls are sent while the endpoints of region "north" fail')
def call_with_failures(context):
    async def act(fleet):
        for name in ('in-a', 'in-b'):
            fleet.backends[name].behaviour = 'fail'
        return await _send_calls(fleet)

    _run_on_fleet(context, act)


@then('the endpoints of "{forbidden}" get nothing, and the calls are {outcome}')
def check_regions(context, forbidden, outcome):
    statuses, runs = context.result
    assert set(statuses) <= _STATUSES[outcome], statuses
    domains = {'north': 'ab', 'south': 'cd', 'both': 'abcd'}[forbidden]
    assert not any(runs['in-{0}'.format(domain)] for domain in domains), runs
