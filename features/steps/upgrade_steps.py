"""Steps that run the build in production and the new one beside one another."""

import re
import shutil
import tempfile
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from emulator.caller_exchange import KEY, encode_call, exchange
from emulator.entry_fleet import free_port, route
from emulator.instance_process import InstanceProcess
from emulator.production_build import (
    ROOT,
    BuildUnavailable,
    unpack_commit,
    unpack_production,
)
from features.steps.entry_steps import _put_configuration, _run_on_fleet
from fireflymux.http.client_connection import ConnectFailed
from soak.upgrade import find_upgrade_violations, run_upgrade

_NEW_KEY = 'new-key'
_BODY = b'the same'
_USAGE = 'X-Token-Usage: 1460,80'
_MISSING_COMMIT = '0' * 40


def _find_build(name):
    return {'old': unpack_production, 'new': lambda: ROOT}[name]()


async def _start_instance(context, fleet, build, store_address):
    """Starts an instance in a process of its own and waits until it is ready."""
    number = len(context.processes)
    folder = Path(tempfile.mkdtemp(prefix='upgrade-'))
    context.closers.append(lambda: shutil.rmtree(folder))
    host = '127.0.0.{0}'.format(number + 11)
    process = InstanceProcess(
        name='entry-{0}'.format(number + 1),
        failure_domain='a',
        caller_address='127.0.0.1:{0}'.format(free_port()),
        readiness_address='127.0.0.1:{0}'.format(free_port()),
        peer_host=host,
        advertised_host=host,
        peer_port=context.peer_port,
        seeds='127.0.0.11:1',
        store_address=store_address,
        folder=folder,
        metrics_address='127.0.0.1:{0}'.format(free_port()),
        source_root=_find_build(build),
    )
    context.processes.append(process)
    context.closers.append(process.kill)
    process.start()
    await _eventually(lambda: _is_ready(process))


async def _is_ready(process):
    assert process.is_running, process.log_path.read_text()
    try:
        return (await _get(process.readiness_address, '/api/readyz')).status == 200
    except (ConnectFailed, OSError):
        return False


async def _get(address, path):
    return await exchange(address, 'GET {0} HTTP/1.1\r\nHost: x\r\n\r\n'.format(path).encode())


async def _eventually(check, seconds=10):
    """Waits until an asynchronous function returns something true, and returns that."""
    with trio.fail_after(seconds):
        while not (found := await check()):
            await trio.sleep(0.05)
    return found


async def _call(context, number, path='/a', **options):
    return await exchange(context.processes[number].caller_address, encode_call(path, **options))


async def _read_metric(context, number, name):
    """Returns the sum of a metric of an instance over its labels; 0 if it was never counted."""
    reply = await _get(context.processes[number].metrics_address, '/metrics')
    pattern = r'^fireflymux_{0}(?:\{{.*\}})? (\S+)$'.format(name)
    return sum(float(item) for item in re.findall(pattern, reply.content.decode(), re.MULTILINE))


async def _wait_until_heard(context, others=1):
    for number in range(len(context.processes)):

        async def has_heard(number=number):
            return await _read_metric(context, number, 'instances_heard') == others

        await _eventually(has_heard)


def _set_up_instances(context, builds, *, is_silent):
    context.processes = []
    context.peer_port = free_port()

    async def build(fleet):
        for domain in 'ab':
            await fleet.add_backend('in-{0}'.format(domain), 'pool', zone=domain, batch_slots=1)
        _put_configuration(fleet, 5, [route('/', 'unsafe', 'pool')])
        address = await fleet.start_store()
        context.silent_address = await fleet.start_store()
        if is_silent:
            fleet.turn_away(context.silent_address, 'silent')
        await _start_instance(context, fleet, builds[0], address)
        second_address = context.silent_address if is_silent else address
        await _start_instance(context, fleet, builds[1], second_address)
        await _wait_until_heard(context)

    context.build = build


@given('an "{first}" and a "{second}" instance of one store')
def two_instances(context, first, second):
    _set_up_instances(context, (first, second), is_silent=False)


@given('an "{first}" instance, and a "{second}" instance whose store is silent from its start')
def second_without_store(context, first, second):
    _set_up_instances(context, (first, second), is_silent=True)


async def _leave_only_endpoint(context, fleet):
    """Takes the endpoint in-b away, so that all requests reach in-a."""
    fleet.store.remove('servers', 'in-b')
    for number in range(len(context.processes)):

        async def knows_one(number=number):
            return await _read_metric(context, number, 'endpoints_known') == 1

        await _eventually(knows_one)
    return fleet.backends['in-a']


@when(
    'a request breaks off twice at the first, is answered at the second,'
    ' and breaks off 3 times at the first'
)
def break_off_and_answer(context):
    async def act(fleet):
        backend = await _leave_only_endpoint(context, fleet)
        for number, behaviour, times in (
            (0, 'break off', 2),
            (1, 'answer', 1),
            (0, 'break off', 3),
        ):
            backend.behaviour = behaviour
            for _ in range(times):
                await _call(context, number, content=_BODY)
            # Each full report states the counts; one in ten reports is full.
            await trio.sleep(0.8)
        runs = len(backend.requests)
        backend.behaviour = 'answer'
        replies = [await _call(context, number, content=_BODY) for number in (1, 0)]
        return runs, len(backend.requests), replies

    _run_on_fleet(context, act)


@then('it was run each time, and both refuse it from then on')
def check_refused(context):
    runs, runs_after, replies = context.result
    assert (runs, runs_after) == (6, 6), context.result
    # Its earlier attempts have run, so that 503 would be wrong.
    assert [reply.status for reply in replies] == [502, 502], replies


@when('the first has used tokens and occupies the only slot, and a request reaches the second')
def use_and_occupy(context):
    async def act(fleet):
        backend = await _leave_only_endpoint(context, fleet)
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                await _call(context, 0, more=_USAGE)
            backend.behaviour = 'answer slowly'
            nursery.start_soon(_call, context, 0)
            await trio.sleep(0.6)
            runs = len(backend.requests)
            reply = await _call(context, 1, attempt='late', deadline_ms=600)
            return runs, len(backend.requests), reply

    _run_on_fleet(context, act)


@then('that request is refused as not run, knowing the usage of its account at the first')
def check_known_usage(context):
    runs, runs_after, reply = context.result
    assert (runs, runs_after, reply.status) == (6, 6, 503), context.result
    lines = map(orjson.loads, context.processes[1].log_path.read_text().splitlines())
    (refusal,) = [line for line in lines if line['event'] == 'request_not_placed']
    assert refusal['request'] == 'late', refusal
    # The second instance itself has placed nothing.
    assert refusal['given'] > 0, refusal


@when('the configuration replaces the key, all endpoints drain and another one appears')
def change_everything(context):
    async def act(fleet):
        accounts = [{'name': 'mothers', 'api_keys': [_NEW_KEY], 'priority': 1}]
        _put_configuration(fleet, 9, [route('/', 'unsafe', 'pool')], tenants=accounts)
        for name in tuple(fleet.backends):
            fleet.change_endpoint(name, state='draining')
        await fleet.add_backend('in-c', 'pool')
        await trio.sleep(2.0)
        refused = await _call(context, 1, key=KEY)
        served = [await _call(context, 1, key=_NEW_KEY) for _ in range(10)]
        return refused, served

    _run_on_fleet(context, act)


@then('the second refuses the old key, and uses the only endpoint that is ready')
def check_learned_everything(context):
    refused, served = context.result
    assert refused.status == 401, refused
    assert {reply.content for reply in served} == {b'answer of in-c'}, served


async def _send_to_all(context, fleet):
    """Sends requests to each instance; returns the runs by endpoint for each."""
    runs = []
    for number in range(len(context.processes)):
        for backend in fleet.backends.values():
            backend.requests.clear()
        replies = [await _call(context, number) for _ in range(6)]
        assert {reply.status for reply in replies} == {200}, replies
        runs.append({name: len(item.requests) for name, item in fleet.backends.items()})
    return runs


@when(
    'failure domain "b" is evacuated, a further "{build}" instance starts,'
    ' and "a" is evacuated instead'
)
def evacuate_in_turn(context, build):
    async def act(fleet):
        fleet.evacuate('b')
        await trio.sleep(1.0)
        await _start_instance(context, fleet, build, context.silent_address)
        first = await _send_to_all(context, fleet)
        fleet.end_evacuation('b')
        fleet.evacuate('a')
        await trio.sleep(1.0)
        return first, await _send_to_all(context, fleet)

    _run_on_fleet(context, act)


@then('all three send everything to "a" at first, and to "b" after that')
def check_evacuated_everywhere(context):
    first, after = context.result
    assert first == 3 * [{'in-a': 6, 'in-b': 0}], context.result
    assert after == 3 * [{'in-a': 0, 'in-b': 6}], context.result


@when(
    'both place prompts, refuse requests, hear of an endpoint that warms up and of an evacuation'
)
def send_everything(context):
    async def act(fleet):
        for number in range(2):
            prefix = 'X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410'
            await _call(context, number, more='X-Model: m\r\n{0}\r\n{1}'.format(_USAGE, prefix))
            fleet.backends['in-a'].behaviour = 'answer and warm up'
            await _call(context, number)
        fleet.evacuate('b')
        await trio.sleep(0.5)
        fleet.evacuate('a')
        await trio.sleep(0.5)
        statuses = [(await _call(context, number)).status for number in range(2)]
        assert statuses == [503, 503], statuses
        await trio.sleep(0.5)
        names = ('instances_heard', 'unreadable_reports_total')
        return [
            [await _read_metric(context, number, name) for name in names] for number in range(2)
        ]

    _run_on_fleet(context, act)


@then('each has heard the other, and neither got a datagram that it could not read')
def check_understood(context):
    assert context.result == [[1, 0], [1, 0]], context.result


@given('callers of three instances of the build in production')
def callers_in_production(context):
    context.folder = Path(tempfile.mkdtemp(prefix='upgrade-'))
    context.production = unpack_production()


@when(
    'all three are replaced by the new build one by one, and rolled back,'
    ' while the configuration changes and endpoints drain'
)
def roll_and_roll_back(context):
    async def run():
        return await run_upgrade(context.production, context.folder, seed=1)

    context.record = trio.run(run)


@then(
    'every request was served or promised not to have run,'
    ' and no check of the soak finds a violation'
)
def check_roll(context):
    history = context.record.history
    violations = find_upgrade_violations(context.record)
    assert not violations, (len(violations), context.folder, violations[:5])
    assert [stop.exit_code for stop in history.stops] == [0] * 6, history.stops
    served = {
        (item.instance, item.incarnation) for item in history.exchanges if item.status == 200
    }
    assert len(served) == 9, served
    shutil.rmtree(context.folder)


@when('the build of a commit that the history lacks is unpacked')
def unpack_missing(context):
    try:
        unpack_commit(_MISSING_COMMIT, Path(tempfile.mkdtemp()))
    except BuildUnavailable as error:
        context.error = str(error)


@then('that fails and says which commit is missing, and how to get it')
def check_missing(context):
    assert _MISSING_COMMIT in context.error, context.error
    assert 'git fetch --unshallow' in context.error, context.error
