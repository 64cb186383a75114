"""Steps for the entry role.

The Given step of a scenario sets `context.build`, which starts stores, endpoints and instances.
The When step runs it together with its own actions in one event loop, and the Then steps check
`context.result`.
"""

import errno
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import trio
from behave import given, then, when

from emulator.entry_fleet import (
    configuration,
    encode_call,
    exchange,
    free_port,
    open_fleet,
    route,
)
from fireflymux.http.client_connection import ConnectFailed

_ROOT = Path(__file__).resolve().parent.parent.parent
_FORGED_HEADERS = '\r\n'.join(
    ('X-Tenant: partner', 'X-Expect-Instance: other', 'X-Hold: 1', 'X-Pin-Ms: 9', 'X-Own: kept')
)


def _run_on_fleet(context, act):
    """Opens and builds a fleet, and sets `context.result` to what `act` returns for it."""

    async def run():
        with trio.fail_after(20):
            async with open_fleet() as fleet:
                await context.build(fleet)
                context.entry_fleet = fleet
                context.result = await act(fleet)

    trio.run(run)


def _put_configuration(fleet, version, routes, **changes):
    fleet.store.put('op', 'config', configuration(version, routes, **changes))


async def _start_instances(fleet, instances=1):
    address = await fleet.start_store()
    for _ in range(instances):
        await fleet.add_instance(address)
    for number in range(instances):
        await fleet.wait_ready(number)


@given('routes "/" to "general" and "/orders/" to "orders"')
def two_routes(context):
    async def build(fleet):
        await fleet.add_backend('g', 'general')
        await fleet.add_backend('o', 'orders')
        _put_configuration(
            fleet, 5, [route('/', 'unsafe', 'general'), route('/orders/', 'unsafe', 'orders')]
        )
        await _start_instances(fleet)

    context.build = build


def _set_up_one_route(context, kind, behaviours, **changes):
    async def build(fleet):
        for number, behaviour in enumerate(behaviours):
            await fleet.add_backend('e{0}'.format(number), 'pool', behaviour)
        _put_configuration(fleet, 5, [route('/', kind, 'pool', **changes)])
        await _start_instances(fleet)

    context.build = build


@given('a "{kind}" route whose only endpoint has behaviour "{behaviour}"')
def only_endpoint(context, kind, behaviour):
    _set_up_one_route(context, kind, [behaviour], timeout_ms=600)


@given(
    'a "{kind}" route with a timeout of {milliseconds:d} ms'
    ' whose only endpoint has behaviour "{behaviour}"'
)
def only_endpoint_timed(context, kind, milliseconds, behaviour):
    _set_up_one_route(context, kind, [behaviour], timeout_ms=milliseconds)


@given('a "{kind}" route with one endpoint of behaviour "{behaviour}" and one that answers')
def faulty_and_sound_endpoint(context, kind, behaviour):
    _set_up_one_route(context, kind, [behaviour, 'answer'])


@given('a resumable stream route with one endpoint that breaks off and one that streams')
def breaking_and_streaming(context):
    _set_up_one_route(context, 'streaming', ['stream and cut', 'stream'], stream_resume=True)


@given('a "{kind}" route with {count:d} endpoints of behaviour "{behaviour}"')
def equal_endpoints(context, kind, count, behaviour):
    _set_up_one_route(context, kind, [behaviour] * count)


@given('a "safe" route with two endpoints that answer')
def two_endpoints(context):
    _set_up_one_route(context, 'safe', ['answer', 'answer'])


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


@when('a caller posts to "{path}" with headers that only the system may set')
def post_forged(context, path):
    _run_on_fleet(context, lambda fleet: fleet.call(path, content=b'body', more=_FORGED_HEADERS))


@when('a caller posts to "{path}" on host "{host}" with key "{key}"')
def post_with_credentials(context, path, host, key):
    key = '' if key == 'none' else key
    _run_on_fleet(context, lambda fleet: fleet.call(path, host=host, key=key))


_REQUEST_HEAD = 'POST /a HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: a1\r\n'
_HIDDEN_REQUEST = '0\r\n\r\nPOST /a HTTP/1.1\r\n'
_INVALID_REQUESTS = {
    'two different lengths': _REQUEST_HEAD + 'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'a length and chunks': _REQUEST_HEAD
    + 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'an unknown transfer coding': _REQUEST_HEAD + 'Transfer-Encoding: xchunked\r\n\r\n',
    'a space before the colon': 'POST /a HTTP/1.1\r\nHost : models.example\r\n\r\n',
    'no host': 'POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n',
    'a second request hidden in a chunk': _REQUEST_HEAD
    + 'Transfer-Encoding: chunked\r\n\r\nzz\r\n'
    + _HIDDEN_REQUEST,
    'a body over the limit': _REQUEST_HEAD + 'Content-Length: 20001\r\n\r\n',
    'headers over the limit': _REQUEST_HEAD + 'X-Long: {0}\r\n\r\n'.format('x' * 5000),
    'half a head and then nothing': _REQUEST_HEAD,
}


@when('a connection sends {description}')
def send_invalid_request(context, description):
    raw = _INVALID_REQUESTS[description].encode()
    _run_on_fleet(context, lambda fleet: exchange(fleet.settings[0].caller_address, raw))


@when('a caller sends a request')
def send_one(context):
    async def act(fleet):
        started = trio.current_time()
        reply = await fleet.call('/a')
        context.seconds = trio.current_time() - started
        context.readiness = await fleet.ask_readiness()
        return reply

    _run_on_fleet(context, act)


@when('a caller sends {count:d} requests one after the other')
@when('a caller reads {count:d} streams one after the other')
def send_many(context, count):
    async def act(fleet):
        return [await fleet.call('/a', attempt='a{0}'.format(number)) for number in range(count)]

    _run_on_fleet(context, act)


@when('a caller disconnects in the middle of its stream')
def disconnect(context):
    async def act(fleet):
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(encode_call('/a', attempt='gone'))
        while b'piece 2' not in await stream.receive_some():
            continue
        await stream.aclose()
        await trio.sleep(0.3)
        return fleet.backends['e0'].left

    _run_on_fleet(context, act)


@when('the same request is sent {count:d} times')
def send_same(context, count):
    async def act(fleet):
        for _ in range(count):
            await fleet.call('/a', content=b'the same')
        return sum(len(backend.requests) for backend in fleet.backends.values())

    _run_on_fleet(context, act)


async def _send_calls(fleet, count=10, number=0):
    """Sends calls one by one to the instance of a number.

    Returns the statuses of the calls, and by endpoint the number of requests that it ran.
    """
    for backend in fleet.backends.values():
        backend.requests.clear()
    replies = [await fleet.call('/a', number=number) for _ in range(count)]
    runs = {name: len(backend.requests) for name, backend in fleet.backends.items()}
    return [reply.status for reply in replies], runs


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


@given('the entry role in a process of its own')
def use_own_process(context):
    async def build(fleet):
        await fleet.add_backend('e0', 'pool', 'answer slowly')
        _put_configuration(fleet, 5, [route('/', 'unsafe', 'pool')])

    context.build = build


_SETTINGS_TEMPLATE = """[entry]
name = entry-9
failure_domain = a
caller_address = 127.0.0.1:{caller}
readiness_address = 127.0.0.1:{readiness}
peer_host = 127.0.0.1
peer_port = {peer}
store_address = {store}
shutdown_timeout_seconds = 8
"""


def _start_process(path):
    return subprocess.Popen(
        [sys.executable, '-m', 'fireflymux', 'entry', str(path)],
        cwd=_ROOT,
        env=os.environ | {'PYTHONPATH': str(_ROOT / 'src')},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


async def _ask_readiness(address):
    """Returns the status of a readiness check, or 0 if the process does not answer."""
    try:
        return (await exchange(address, b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')).status
    except Exception:
        return 0


@when('it gets SIGTERM while a slow request is in progress')
def stop_process(context):
    folder = Path(tempfile.mkdtemp())

    async def act(fleet):
        ports = {name: free_port() for name in ('caller', 'readiness', 'peer')}
        path = folder / 'entry.ini'
        path.write_text(_SETTINGS_TEMPLATE.format(store=await fleet.start_store(), **ports))
        process = _start_process(path)
        context.closers.append(process.kill)
        readiness = '127.0.0.1:{0}'.format(ports['readiness'])
        while await _ask_readiness(readiness) != 200:
            await trio.sleep(0.05)
        replies = []

        async def call():
            address = '127.0.0.1:{0}'.format(ports['caller'])
            replies.append(await exchange(address, encode_call('/a', deadline_ms=5000)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            await trio.sleep(0.3)
            status_meanwhile = await _ask_readiness(readiness)
        code = await trio.to_thread.run_sync(process.wait)
        return replies[0], status_meanwhile, code

    _run_on_fleet(context, act)


@given('a settings file of an entry instance with three mistakes')
def write_invalid_settings(context):
    path = Path(tempfile.mkdtemp()) / 'entry.ini'
    text = _SETTINGS_TEMPLATE.format(caller=1, readiness=1, peer=0, store='nowhere')
    path.write_text('{0}unknown_key = 1\n'.format(text))
    context.path = path


@when('the entry role starts')
def start_with_invalid_settings(context):
    process = _start_process(context.path)
    _, context.errors = process.communicate(timeout=20)
    context.code = process.returncode


@then('it names all three and exits with code 2')
def check_settings_errors(context):
    assert context.code == 2, context.code
    for key in ('peer_port', 'store_address', 'unknown_key'):
        assert key in context.errors, context.errors


@then('the request is answered, the process is not ready meanwhile, and exits with code 0')
def check_stop(context):
    reply, status_meanwhile, code = context.result
    assert reply.status == 200 and reply.is_whole, reply
    assert reply.fields.get('connection') == 'close', reply
    assert status_meanwhile == 503, status_meanwhile
    assert code == 0, code


@then('the endpoint of "orders" ran exactly that request, with the account added and no key')
def check_forwarded(context):
    backends = context.entry_fleet.backends
    assert not backends['g'].requests
    (request,) = backends['o'].requests
    assert (request.method, request.target) == (b'POST', b'/orders/7?x=1'), request
    assert request.content == b'body', request
    fields = {name.lower().decode(): text.decode() for name, text in request.fields}
    assert fields['x-tenant'] == 'mothers', fields
    assert fields['x-expect-instance'] == 'o', fields
    assert fields['x-own'] == 'kept', fields
    assert not {'authorization', 'x-hold', 'x-pin-ms'} & set(fields), fields
    assert 1500 < int(fields['x-deadline-ms']) <= 2000, fields


@then("the caller got the endpoint's complete response")
def check_answer(context):
    reply = context.result
    assert reply.status == 200 and reply.is_whole, reply
    assert reply.content == b'answer of o', reply
    assert reply.fields['x-server-signature'] == 'o', reply


def _count_runs(context):
    return sum(len(backend.requests) for backend in context.entry_fleet.backends.values())


@then('it is answered {status:d} and no endpoint ran it')
def check_not_run(context, status):
    assert context.result.status == status, context.result
    assert not _count_runs(context)


@then('it is answered {status:d}, the connection is closed, and no endpoint ran it')
def check_refused_and_closed(context, status):
    check_not_run(context, status)
    assert context.result.fields.get('connection') == 'close', context.result


@then('it is answered {status:d} and the endpoint ran it {runs:d} times')
def check_outcome(context, status, runs):
    reply = context.result
    assert reply.status == status and reply.is_whole, reply
    assert _count_runs(context) == runs, _count_runs(context)
    if status == 503:
        assert float(reply.fields['retry-after']) > 0, reply
    if status in {502, 504}:
        assert 'x-server-signature' not in reply.fields, reply
    if status == 200:
        assert reply.content == b'answer of e0', reply


@then('each gets 200 with its own complete response')
def check_all_complete(context):
    for number, reply in enumerate(context.result):
        assert reply.status == 200 and reply.is_whole, reply
        assert reply.fields['x-attempt-id'] == 'a{0}'.format(number), reply
        assert reply.content.startswith(b'answer of e'), reply


@then('each has every event once, in order, and is complete')
def check_streams(context):
    whole = b''.join(b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(6))
    for reply in context.result:
        assert reply.is_whole and reply.content == whole, reply


@then('the connection ends before the response is complete, after complete events only')
def check_broken_stream(context):
    reply = context.result
    assert reply.status == 200 and not reply.is_whole, reply
    assert reply.content.endswith(b'piece 1\n\n'), reply


@then("the endpoint's connection ends within 0.3 s")
def check_disconnected(context):
    assert context.result == [b'gone'], context.result


@then('it is answered {status:d} after {least:d} to {most:d} ms')
def check_time(context, status, least, most):
    assert context.result.status == status, context.result
    assert least <= context.seconds * 1000 <= most, context.seconds


@then('endpoints ran it {most:d} times at most')
def check_crashes(context, most):
    assert 2 <= context.result <= most, context.result


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


@when('a caller is answered once and refused once')
def send_and_read_metrics(context):
    async def act(fleet):
        address = '127.0.0.1:{0}'.format(free_port())
        await fleet.add_instance(fleet.settings[0].store_address, metrics_address=address)
        await fleet.wait_ready(1)
        await fleet.call('/a', number=1)
        await fleet.call('/a', number=1, key='wrong')
        raw = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, raw)).content.decode()

    _run_on_fleet(context, act)


@then('the metrics count both, by result')
def check_metrics(context):
    lines = context.result.splitlines()
    assert 'fireflymux_requests_total{pool="general",result="whole"} 1' in lines, lines
    assert 'fireflymux_refusals_total{kind="unauthenticated"} 1' in lines, lines
    assert any(line.startswith('fireflymux_request_seconds_count') for line in lines), lines


@when('a caller sends a prompt of {prompt:d} tokens and asks for {answer:d} output tokens')
def ask_tokens(context, prompt, answer):
    async def act(fleet):
        address = '127.0.0.1:{0}'.format(free_port())
        await fleet.add_instance(fleet.settings[0].store_address, metrics_address=address)
        await fleet.wait_ready(1)
        usage = 'X-Token-Usage: {0},{1}'.format(prompt, answer)
        await fleet.call('/a', number=1, more=usage)
        shares = fleet.instances[1]._state.shares
        context.charged_tokens = shares.given.total('mothers', trio.current_time())
        raw = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, raw)).content.decode()

    _run_on_fleet(context, act)


@then(
    'the metrics count {tokens:d} tokens as asked, given and unused,'
    ' and the account is charged nothing'
)
def check_unused(context, tokens):
    lines = context.result.splitlines()
    name = 'fireflymux_account_tokens_total'
    for state in ('asked', 'given', 'unused'):
        line = '{0}{{account="mothers",state="{1}"}} {2}'.format(name, state, tokens)
        assert line in lines, (line, lines)
    assert abs(context.charged_tokens) < 1, context.charged_tokens


@when('it gets SIGHUP with other seeds in its file, and again with a mistake in it')
def reload_settings(context):
    folder = Path(tempfile.mkdtemp())

    async def act(fleet):
        ports = {name: free_port() for name in ('caller', 'readiness', 'peer')}
        path = folder / 'entry.ini'
        text = _SETTINGS_TEMPLATE.format(store=await fleet.start_store(), **ports)
        path.write_text(text)
        process = _start_process(path)
        context.closers.append(process.kill)
        readiness = '127.0.0.1:{0}'.format(ports['readiness'])
        while await _ask_readiness(readiness) != 200:
            await trio.sleep(0.05)
        path.write_text('{0}seeds = 127.0.0.9:1\nretry_ratio = 0.1\n'.format(text))
        process.send_signal(signal.SIGHUP)
        await trio.sleep(0.5)
        path.write_text('{0}seeds = 127.0.0.9:1\nretry_ratio = 9\n'.format(text))
        process.send_signal(signal.SIGHUP)
        await trio.sleep(0.5)
        status = await _ask_readiness(readiness)
        process.send_signal(signal.SIGTERM)
        lines, _ = await trio.to_thread.run_sync(process.communicate)
        return status, lines

    _run_on_fleet(context, act)


@then('it logs what it applied and what was wrong, and goes on')
def check_reload(context):
    status, lines = context.result
    assert status == 200, status
    assert '"taken":["seeds"],"need_restart":["retry_ratio"]' in lines, lines
    assert '"event":"settings_invalid"' in lines, lines


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


def _find_only_pool(fleet):
    (live,) = fleet.instances[0]._state._endpoints.values()
    return live.pool


@when('a caller disconnects while a connection to the endpoint is being opened')
def disconnect_before_send(context):
    async def act(fleet):
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        pool = _find_only_pool(fleet)
        take = pool.take

        async def take_and_disconnect(identifier):
            connection = await take(identifier)
            # No checkpoint follows, so that the task that reads from the caller does not notice
            # the disconnect before the request is about to be sent.
            stream.socket.close()
            return connection

        pool.take = take_and_disconnect
        await stream.send_all(encode_call('/a'))
        await trio.sleep(0.2)

    _run_on_fleet(context, act)


@then('the endpoint received nothing')
def check_nothing_received(context):
    assert not _count_runs(context), _count_runs(context)


@given('an instance that may open {count:d} file descriptors')
def limit_descriptors(context, count):
    async def build(fleet):
        await fleet.add_backend('e0', 'pool')
        _put_configuration(fleet, 5, [route('/', 'unsafe', 'pool')])
        address = await fleet.start_store()
        await fleet.add_instance(address, maximum_descriptors=count)
        await fleet.wait_ready()

    context.build = build


@when('{count:d} callers keep idle connections open and one more sends a request')
def keep_idle_connections(context, count):
    async def act(fleet):
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        streams = []
        for _ in range(count):
            streams.append(await trio.open_tcp_stream(host, int(port)))
            await trio.sleep(0.005)
        reply = await fleet.call('/a')
        closed = []
        for stream in streams:
            with trio.move_on_after(0.02):
                closed.append(await stream.receive_some() == b'')
                continue
            closed.append(False)
        return reply, closed

    _run_on_fleet(context, act)


@then('the last one is answered, and the connections idle for longest are closed')
def check_closed_connections(context):
    reply, closed = context.result
    assert reply.status == 200, reply
    assert closed[0] and not closed[-1], closed
    assert closed == sorted(closed, reverse=True), closed
    assert closed.count(False) <= 32, closed


@when('the instance has no file descriptor left for one request')
def no_descriptor(context):
    async def act(fleet):
        pool = _find_only_pool(fleet)
        take = pool.take

        async def fail_without_descriptor(identifier):
            raise ConnectFailed(OSError(errno.EMFILE, 'no descriptor'))

        pool.take = fail_without_descriptor
        first = await fleet.call('/a')
        pool.take = take
        (live,) = fleet.instances[0]._state._endpoints.values()
        return first, live.record.connection_backoff.is_backing_off, await fleet.call('/a')

    _run_on_fleet(context, act)


@then('that one is refused as not run, and the endpoint gets the next one without a pause')
def check_descriptor(context):
    first, is_backing_off, second = context.result
    assert first.status == 503 and float(first.fields['retry-after']) > 0, first
    assert second.status == 200 and not is_backing_off, second


@when('{count:d} callers send requests at once')
def send_at_once(context, count):
    async def act(fleet):
        fleet.change_endpoint('e0', batch_slots=count)
        await trio.sleep(0.3)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(fleet.call, '/a')
        return len(_find_only_pool(fleet)._idle)

    _run_on_fleet(context, act)


@then('the instance keeps {count:d} connections to the endpoint open')
def check_idle_connections(context, count):
    assert context.result == count, context.result


@when('the same request breaks off {times:d} times and is answered after each time')
def break_and_answer(context, times):
    async def act(fleet):
        statuses = []
        for _ in range(times):
            for behaviour in ('break off', 'answer'):
                fleet.backends['e0'].behaviour = behaviour
                statuses.append((await fleet.call('/a', content=b'the same')).status)
        return statuses, await fleet.call('/a', content=b'the same')

    _run_on_fleet(context, act)


@then('it is answered once more')
def check_answered_again(context):
    statuses, last = context.result
    assert last.status == 200, (statuses, last)


@given(
    'a stream route with a timeout of {milliseconds:d} ms and a gap target of {gap:d} ms'
    ' whose only endpoint has behaviour "{behaviour}"'
)
def timed_stream(context, milliseconds, gap, behaviour):
    _set_up_one_route(
        context,
        'streaming',
        [behaviour],
        timeout_ms=milliseconds,
        target_latency_ms=100,
        gap_aim_ms=gap,
    )


@given(
    'a resumable stream route with a timeout of {milliseconds:d} ms,'
    ' one endpoint that stalls and one that streams'
)
def stalling_and_streaming(context, milliseconds):
    _set_up_one_route(
        context,
        'streaming',
        ['stream and trickle', 'stream'],
        timeout_ms=milliseconds,
        stream_resume=True,
        gap_aim_ms=100,
    )


@when('a caller with a deadline of {milliseconds:d} ms sends a request')
def send_with_deadline(context, milliseconds):
    async def act(fleet):
        started = trio.current_time()
        reply = await fleet.call('/a', deadline_ms=milliseconds)
        context.seconds = trio.current_time() - started
        return reply

    _run_on_fleet(context, act)


@when('{count:d} callers with a deadline of {milliseconds:d} ms read a stream each')
def read_with_deadline(context, count, milliseconds):
    async def act(fleet):
        replies = []

        async def call():
            replies.append(await fleet.call('/a', deadline_ms=milliseconds))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call)
        return replies

    _run_on_fleet(context, act)


@then('the connection ends before the response is complete, after {least:d} to {most:d} ms')
def check_stalled(context, least, most):
    reply = context.result
    assert reply.status == 200 and not reply.is_whole, reply
    assert b'piece 1\n\n' in reply.content, reply
    assert least <= context.seconds * 1000 <= most, context.seconds


@then('the caller got every event once, in order, and the stream is complete')
def check_one_stream(context):
    context.result = [context.result]
    check_streams(context)


@then('each has every event once, in order, and is complete, comments aside')
def check_events(context):
    for reply in context.result:
        events = reply.content.split(b'\n\n')
        reply.content = b''.join(
            event + b'\n\n' for event in events if event and not event.startswith(b':')
        )
    check_streams(context)
