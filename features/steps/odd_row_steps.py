"""Steps for odd rows, entries and answers of the platform that routers and sidecars read."""

import time
import uuid

import orjson
import trio
from behave import given, then, when

from emulator.callers import call, chat
from emulator.fleet import PLATFORM_CREDENTIAL, Fleet, wait_until
from emulator.scripted_server import ScriptedAnswer, ScriptedServer, answer
from emulator.small_fleet import start_engine_sidecar, start_small_fleet
from fireflymux._settings_generated import PlatformSettings, TlsSettings
from fireflymux.decisions.crash_registry import CrashRegistry
from fireflymux.messages import Heartbeat
from fireflymux.observability.metrics import Metrics
from fireflymux.sidecar.endpoint_results import count_completion_tokens
from fireflymux.store.group_commit import GroupCommitter, PutResult
from fireflymux.store.platform_client import CommitResult, PlatformClients, Put
from fireflymux.web.credentials import compute_key_digest
from fireflymux.web.http_clients import create_platform_client
from fireflymux.wire import codec
from fireflymux.wire.totals_table import unpack_totals

_PATH = '/services/bookings/reservations'
_CONTRACT = {
    'account': 'odd',
    'weight': 1.0,
    'rate_per_second': 1.0,
    'concurrency': 1,
    'queue_length': 1,
    'pools': ['farewell'],
    'key_digest': compute_key_digest('secret'),
}


def _nest(depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    return nested


_ENTRY = {'name': 'odd', 'role': 'sidecar', 'failure_domain': 'a', 'pool': 'farewell'}
_ENTRIES = {
    'without an address': _ENTRY,
    'whose port is no number': {**_ENTRY, 'address': 'http://127.0.0.1:port'},
    'whose host has too long a label': {**_ENTRY, 'address': 'http://' + 'a' * 70 + '.odd:1'},
    'of a router whose port is no number': {
        **_ENTRY,
        'role': 'router',
        'address': 'http://127.0.0.1:port',
    },
    'nested 200 levels deep': {**_ENTRY, 'address': _nest(200)},
    'that is no object': 7,
}
_CHANGES = {
    'that is no object': 7,
    'whose contract has no weight': {**_CONTRACT, 'weight': None},
    'whose contract has weight zero': {**_CONTRACT, 'weight': 0},
    'whose contract has weight -1e308': {**_CONTRACT, 'weight': -1e308},
    'nested 200 levels deep': {**_CONTRACT, 'pools': _nest(200)},
}
_GARBAGE = {
    'something else': '<html>busy</html>',
    'rows of other keys': '[{"key": "other", "version": 1, "value": {}}]',
}


@given('a small fleet of one router, one engine and one service')
def start_fleet(context):
    context.fleet = start_small_fleet(engines=1, services=1, routers=1)
    context.closers.append(context.fleet.close)
    context.router = context.fleet.processes['router-0']


def _commit(context, *puts):
    context.fleet.client.post(
        context.fleet.platform + '/table/transactions',
        content=orjson.dumps({'puts': puts}),
        headers={'Authorization': 'Bearer ' + PLATFORM_CREDENTIAL},
    ).raise_for_status()


def _put(key, version, value):
    return {'key': key, 'expected_version': version, 'value': value}


def _read_rows(context, prefix):
    return context.fleet.client.get(
        context.fleet.platform + '/table/rows',
        params={'prefix': prefix, 'after': prefix, 'limit': 100},
        headers={'Authorization': 'Bearer ' + PLATFORM_CREDENTIAL},
    ).json()


def _check_processes(context):
    ended = [
        process.name
        for process in context.fleet.processes.values()
        if process.popen.poll() not in {None, -9}
    ]
    assert not ended, ended


def _reserve(context, key=''):
    return call(
        context.router.address,
        'families',
        key=key or uuid.uuid4().hex,
        path=_PATH,
        nonce='nonce',
        timeout=20,
    )


def _wait_for_chat(context, account='families'):
    def is_answered():
        _check_processes(context)
        return chat(
            context.router.address, account, tokens=3, model='farewell', timeout=5
        ).is_whole

    wait_until(is_answered, seconds=12, what='no chat is answered')


@when(
    "another writer adds an entry {oddity} to the live list and the engine's sidecar is restarted"
)
def add_entry(context, oddity):
    context.fleet.client.put(context.fleet.platform + '/live/odd', json=_ENTRIES[oddity])
    time.sleep(1.5)
    context.fleet.processes['engine-0'].kill()
    start_engine_sidecar(context.fleet, 0, context.fleet.processes['engines'].addresses[0])


@then('the router still runs and sends chats to the new sidecar')
def check_new_sidecar(context):
    _wait_for_chat(context)


@when('another writer commits a change {oddity}')
def commit_change(context, oddity):
    value = _CHANGES[oddity]
    if isinstance(value, dict):
        value = {'version': 3, 'change_id': 'odd', 'operator': 'odd', 'contract': value}
    head = {'version': 3, 'snapshot_version': 0}
    _commit(context, _put('config/head', 1, head), _put('config/changes/000000000003', 0, value))
    time.sleep(3)
    chat(context.router.address, 'odd', tokens=3, model='farewell', timeout=1)


@when('the operator adds a contract')
def add_contract(context):
    context.fleet.add_contract('newcomers', 'farewell')


@then('the new contract is served and every process still runs')
def check_new_contract(context):
    _wait_for_chat(context, 'newcomers')
    _check_processes(context)


@when('another writer replaces the claim of a call and the caller repeats the call')
def replace_claim(context):
    assert _reserve(context, 'key').status == 200
    row = wait_until(
        lambda: [item for item in _read_rows(context, 'calls/') if item['version'] == 2],
        seconds=5,
        what='the call was not recorded',
    )[0]
    _commit(context, _put(row['key'], 2, ['odd']))
    sidecar = context.fleet.processes['service-0']
    sidecar.kill()
    context.fleet.start_sidecar(
        'service-0',
        endpoint_url=context.fleet.processes['services'].address,
        pool='bookings',
        kind='service',
        slots=8,
    )
    context.fleet.wait_ready()
    wait_until(lambda: _reserve(context).status == 200, seconds=10, what='no call is answered')
    context.answer = _reserve(context, 'key')


@then('the repeated call fails alone, and another one is answered')
def check_calls(context):
    _check_processes(context)
    assert context.answer.problem.get('ran') == 'unknown', context.answer
    assert _reserve(context).status == 200


@when("the platform's {service} answers {content} for 2 seconds")
def send_garbage(context, service, content):
    context.fleet.set_fault(service, 'garbage', content=_GARBAGE[content])
    started = time.monotonic()
    _reserve(context)
    time.sleep(max(started + 2 - time.monotonic(), 0))
    context.fleet.set_fault(service, 'ok')


@then('a chat and a call with a key are answered and every process still runs')
def check_answered(context):
    _wait_for_chat(context)
    wait_until(lambda: _reserve(context).status == 200, seconds=12, what='no call is answered')
    _check_processes(context)


def _use_platform(context, use, answers=None):
    """Calls `use` with the clients of a platform that sends the answers or that in the context."""
    scripted = answers or [context.platform_answer]

    async def run():
        async with trio.open_nursery() as nursery:
            context.server = await ScriptedServer.start(nursery, scripted)
            url = context.server.url
            settings = PlatformSettings(table_url=url, object_url=url, live_url=url)
            async with create_platform_client(settings, TlsSettings()) as client:
                platform = PlatformClients.from_settings(settings, client)
                context.result = await use(platform, nursery)
            nursery.cancel_scope.cancel()

    trio.run(run)


@given('a live list with an entry that is nested {depth:d} levels deep between two others')
def prepare_deep_entry(context, depth):
    first, last = (
        orjson.dumps({**_ENTRY, 'name': name, 'address': 'http://127.0.0.1:1'})
        for name in ('first, [', 'last')
    )
    deep = b'{"name": %s%s}' % (b'[' * depth, b']' * depth)
    context.platform_answer = answer(200, b'[%s, %s, %s]' % (first, deep, last))


@when('a router reads the list')
def read_live_list(context):
    _use_platform(context, lambda platform, _: platform.live.read())


@then('it has the two others')
def check_others(context):
    assert [entry.name for entry in context.result] == ['first, [', 'last'], context.result


@given('a table that answers every transaction with a conflict that names no row')
def prepare_empty_conflict(context):
    context.platform_answer = answer(409, b'{"failed": []}')


@when('a sidecar commits a row')
def commit_row(context):
    async def commit(platform, nursery):
        committer = GroupCommitter(platform.table, Metrics())
        nursery.start_soon(committer.run)
        with trio.move_on_after(1):
            return await committer.submit(Put('calls/key', 0, {}))

    _use_platform(context, commit)


@then('it learns that the write may have taken effect, after {count:d} transaction')
def check_unknown_write(context, count):
    assert context.result is PutResult.unknown, context.result
    assert len(context.server.requests) == count, len(context.server.requests)


@given('an object store that holds a text')
def prepare_text(context):
    context.platform_answer = answer(200, b'no JSON', b'text/plain')


@when('a sidecar reads the object')
def read_object(context):
    _use_platform(context, lambda platform, _: platform.objects.read('answers/name'))


@then('it has the text')
def check_text(context):
    assert context.result == b'no JSON', context.result


@when('an operator runs "{command}"')
def run_command(context, command):
    fleet = Fleet()
    context.closers.append(fleet.close)
    fleet._platform_url = 'http://127.0.0.1:1'
    context.command = fleet.run_operator_command(*command.split())


@then('the command ends with exit code {code:d} and one line that names {name}')
def check_command(context, code, name):
    lines = context.command.stderr.splitlines()
    assert context.command.returncode == code, context.command
    assert len(lines) == 1 and name in lines[0], lines


@given('a heartbeat with an odd verdict and an odd total beside good ones')
def prepare_heartbeat(context):
    verdicts = [('odd', 'suspect', '"inf"'), ('odder', 'maybe', 9), ('good', 'suspect', 9)]
    context.heartbeat = (
        b'{"router": "r", "address": "http://r:1", "config_version": 1, "sequence": 1, '
        b'"verdicts": [%s], "totals": {"accounts": ["odd", "good"], "settled": [1e308, 5], '
        b'"outstanding": [0, 0], "floors": [0, 0]}}'
    ) % b', '.join(
        b'{"fingerprint": "%s", "state": "%s", "seconds_left": %s}'
        % tuple(str(item).encode() for item in verdict)
        for verdict in verdicts
    )


@when('a sidecar decodes and applies it')
def apply_heartbeat(context):
    heartbeat = codec.decode(context.heartbeat, Heartbeat)
    crashes = CrashRegistry(clock=lambda: 0.0)
    crashes.merge(heartbeat.verdicts)
    context.verdicts = crashes.list_verdicts()
    context.totals = unpack_totals(heartbeat.totals, 'farewell')


@then('its reply has the good ones only')
def check_verdicts(context):
    assert [verdict.fingerprint for verdict in context.verdicts] == ['good'], context.verdicts
    assert [total.account for total in context.totals] == ['good'], context.totals


@given('an engine that states {count} completion tokens for a response of {size:d} bytes')
def prepare_token_count(context, count, size):
    usage = b'{"usage": {"completion_tokens": %s}}' % count.encode()
    context.body = usage.ljust(size)


@when('a sidecar meters the response')
def meter_response(context):
    context.tokens = count_completion_tokens(context.body)


@then('it is charged by its size')
def check_tokens(context):
    assert context.tokens == len(context.body) / 4, context.tokens


@given('a table that answers the first transaction twice and refuses the second one')
def prepare_repeated_commit(context):
    committed = answer(200, b'{}').content
    conflict = answer(409, b'{"failed": ["calls/second"]}')
    context.platform_answers = [ScriptedAnswer(committed + committed), conflict]


@when('a sidecar commits two claims one after the other')
def commit_two(context):
    async def commit(platform, _nursery):
        await platform.table.commit([Put('calls/first', 0, {})])
        return await platform.table.commit([Put('calls/second', 0, {})])

    _use_platform(context, commit, context.platform_answers)


@then('the second one is not committed')
def check_second_commit(context):
    assert context.result.result is CommitResult.conflict, context.result
