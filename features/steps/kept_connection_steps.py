"""Steps for answers on kept connections to endpoints."""

import functools
import re

import trio
from behave import given, then, when

from emulator.backend import Backend
from emulator.caller_exchange import Reply, encode_call, exchange
from emulator.entry_fleet import configuration, free_port, route
from emulator.raw_response import encode_answer, send_raw
from emulator.repeating_backend import COPY_TIMINGS, RepeatingBackend
from features.steps.entry_steps import _put_configuration, _run_on_fleet, _start_instances
from fireflymux.http.client_connection import ClientConnection

_ID_LINE = b'X-Attempt-Id: a1\r\n'
#: Header lines with the identifier of the second request, by description.
_SECOND_ID_LINES = {
    'the same id': _ID_LINE,
    'another id': b'X-Attempt-Id: a2\r\n',
    'an id in capitals': b'X-Attempt-Id: A1\r\n',
    'an empty id': b'X-Attempt-Id:\r\n',
    'no id': b'',
}


async def _add_repeating_backend(fleet, name, first, timing):
    backend = RepeatingBackend(name, first, COPY_TIMINGS[timing])
    fleet.backends[name] = backend
    address = '127.0.0.1:{0}'.format(free_port())
    await fleet._listen(address, backend.respond)
    fleet.announce(name, 'pool', address)


def _set_up_repeating_endpoints(context, names, kind, first, timing):
    async def build(fleet):
        for name in names:
            await _add_repeating_backend(fleet, name, first, timing)
        _put_configuration(fleet, 5, [route('/', kind, 'pool', timeout_ms=1000)])
        await _start_instances(fleet)

    context.build = build


@given(
    'a "{kind}" route whose only endpoint writes its first answer, a "{first}", again "{timing}"'
)
def repeating_endpoint(context, kind, first, timing):
    _set_up_repeating_endpoints(context, ['e0'], kind, first, timing)


@given('a "{kind}" route whose two endpoints each write their first answer, a "{first}", again')
def repeating_endpoints(context, kind, first):
    _set_up_repeating_endpoints(context, ['e0', 'e1'], kind, first, 'with the next request')


async def _refuse_early(stream, bodies):
    """Refuses requests with a body, reads it later, and answers those without."""
    unread = b''
    while True:
        while b'\r\n\r\n' not in unread:
            received = await stream.receive_some()
            if not received:
                return
            unread += received
        head, _, unread = unread.partition(b'\r\n\r\n')
        size = int(re.search(b'Content-Length: ([0-9]+)', head).group(1))
        attempt = (b'X-Attempt-Id', re.search(b'X-Attempt-Id: (\\S+)', head).group(1))
        if not size:
            signed = [attempt, (b'X-Server-Signature', b'e0')]
            await stream.send_all(encode_answer(200, signed, b'id: 0\ndata: /2\n\n'))
            continue
        await stream.send_all(encode_answer(503, [attempt, (b'X-Not-Executed', b'1')], b''))
        await trio.sleep(0.2)
        while len(unread) < size:
            unread += await stream.receive_some()
        bodies.append(unread[:size])
        unread = unread[size:]


@given(
    'a "{kind}" route whose only endpoint refuses requests with {size:d} bytes'
    ' before it reads these'
)
def early_refusal(context, kind, size):
    context.bodies = []

    async def build(fleet):
        port = free_port()
        serve = functools.partial(trio.serve_tcp, host='127.0.0.1')
        await fleet._nursery.start(
            serve, functools.partial(_refuse_early, bodies=context.bodies), port
        )
        fleet.announce('e0', 'pool', '127.0.0.1:{0}'.format(port))
        routes = [route('/', kind, 'pool', timeout_ms=1000)]
        limits = configuration(5, routes)['limits'] | {'max_body_bytes': size}
        _put_configuration(fleet, 5, routes, limits=limits)
        await _start_instances(fleet)

    context.build = build


async def _send_whole(address, raw):
    """Sends a request that is too large for one write, and reads its response."""
    host, _, port = address.rpartition(':')
    connection = await ClientConnection.open(host, int(port), timeout_seconds=2)
    head, _, content = raw.partition(b'\r\n\r\n')
    await connection.send(head, [], content)
    response = await connection.next_response()
    body = await connection.read_full_body(response, 65536)
    connection.close()
    return Reply(response.head.status, {}, body, True)


@when('callers send a request with {size:d} bytes and then one without')
def send_body_and_none(context, size):
    async def act(fleet):
        address = fleet.settings[0].caller_address
        first = await _send_whole(address, encode_call('/1', content=b'x' * size))
        return {'/1': first, '/2': await fleet.call('/2')}

    _run_on_fleet(context, act)


@then('the endpoint read {size:d} bytes as the body of the first')
def check_body(context, size):
    assert [len(body) for body in context.bodies] == [size], [len(b) for b in context.bodies]
    assert set(context.bodies[0]) == {ord('x')}


def _encode(path, id_line):
    return encode_call(path, attempt='a1').replace(_ID_LINE, id_line)


@when('callers send two requests one after the other, the second with "{description}"')
def send_two(context, description):
    second = _SECOND_ID_LINES[description]
    first = second if b':' not in second or second.endswith(b':\r\n') else _ID_LINE

    async def act(fleet):
        address = fleet.settings[0].caller_address
        return {
            '/1': await exchange(address, _encode('/1', first)),
            '/2': await exchange(address, _encode('/2', second)),
        }

    _run_on_fleet(context, act)


def _check_own_response(context, path):
    reply = context.result[path]
    assert reply.status == 200 and reply.is_whole, reply
    assert reply.content == 'id: 0\ndata: {0}\n\n'.format(path).encode(), reply


@then('the first is told that it was not run, and the second gets its own response')
def check_refused_and_served(context):
    assert context.result['/1'].status == 503, context.result
    _check_own_response(context, '/2')


@then('the first is told that it was not run, and the second that its outcome is unknown')
def check_refused_and_unknown(context):
    assert context.result['/1'].status == 503, context.result
    assert context.result['/2'].status == 502, context.result
    assert 'x-server-signature' not in context.result['/2'].fields, context.result


@then('both get their own responses')
def check_both_served(context):
    _check_own_response(context, '/1')
    _check_own_response(context, '/2')


@then('the requests arrived on {count:d} connections')
def check_connections(context, count):
    connections = context.entry_fleet.backends['e0'].connections
    assert len(connections) == count, connections


@then('no request that was refused has run, and none has run twice')
def check_runs(context):
    targets = [
        request.target.decode()
        for backend in context.entry_fleet.backends.values()
        for request in backend.requests
    ]
    assert len(targets) == len(set(targets)), targets
    refused = {path for path, reply in context.result.items() if reply.status in {429, 503}}
    assert not refused.intersection(targets), (targets, context.result)


@when('callers send {count:d} requests one after the other, each with an id of its own')
def send_with_own_ids(context, count):
    async def act(fleet):
        (live,) = fleet.instances[0]._state._endpoints.values()
        open_connection = live.pool.open
        opened = []

        async def count_and_open():
            opened.append(await open_connection())
            return opened[-1]

        live.pool.open = count_and_open
        replies = [await fleet.call('/a') for _ in range(count)]
        return [reply.status for reply in replies], len(opened)

    _run_on_fleet(context, act)


@then('all are answered on {connections:d} connections')
def check_reuse(context, connections):
    statuses, opened = context.result
    assert set(statuses) == {200} and opened == connections, (statuses, opened)


def _send_and_time(context, raw):
    async def act(fleet):
        started = trio.current_time()
        reply = await exchange(fleet.settings[0].caller_address, raw)
        return reply, trio.current_time() - started

    _run_on_fleet(context, act)


@when('a caller sends a "{method}" request with "{header}"')
def send_with_header(context, method, header):
    line = header.replace(r'\r', '\r').replace(r'\n', '\n').replace(r'\t', '\t')
    raw = encode_call('/1', method=method, attempt='a1')
    name = line.partition(':')[0].encode()
    raw = re.sub(name + b': .*\r\n', line.encode() + b'\r\n', raw, count=1)

    _send_and_time(context, raw)


@then('it is answered {status:d}, within half of its time')
def check_answered_in_time(context, status):
    reply, seconds = context.result
    assert reply.status == status and reply.is_whole, (reply, seconds)
    assert seconds < 0.5, seconds


@then('the answer has the id "{identifier}"')
def check_answer_id(context, identifier):
    reply, _ = context.result
    assert reply.fields.get('x-attempt-id') == identifier, reply


@then('the endpoint ran {count:d} requests, with the id "{identifier}"')
@then('the endpoint ran {count:d} requests, with the id ""')
def check_identifiers(context, count, identifier=''):
    requests = context.entry_fleet.backends['e0'].requests
    assert len(requests) == count, requests
    for request in requests:
        values = {text for name, text in request.fields if name.lower() == b'x-attempt-id'}
        assert values == {identifier.encode()}, values


class _RecordingWriter:
    """Passes an answer on, and keeps it to be written again."""

    def __init__(self, writer):
        self._writer = writer
        self.recorded = b''

    async def answer(self, status, fields, content):
        self.recorded = encode_answer(status, fields, content)
        await self._writer.answer(status, fields, content)


@given('an instance whose store writes each answer again before the next one on its connection')
def repeating_store(context):
    earlier = {}

    async def build(fleet):
        async def respond(request, writer):
            await send_raw(writer, earlier.pop(writer, b''))
            recording = _RecordingWriter(writer)
            await fleet.store.respond(request, recording, str)
            earlier[writer] = recording.recorded

        address = '127.0.0.1:{0}'.format(free_port())
        await fleet._listen(address, respond)
        await fleet.add_backend('e0', 'pool')
        _put_configuration(fleet, 5, [route('/', 'unsafe', 'pool')])
        await fleet.add_instance(address)
        await fleet.wait_ready()

    context.build = build


@when('the endpoint leaves, another one takes its place, and a route is added, {times:d} times')
def change_tables(context, times):
    async def act(fleet):
        served = []
        for number in range(1, times + 1):
            fleet.store.remove('servers', 'e{0}'.format(number - 1))
            await fleet.add_backend('e{0}'.format(number), 'pool')
            prefix = '/{0}/'.format(number)
            routes = [route('/', 'unsafe', 'gone'), route(prefix, 'unsafe', 'pool')]
            _put_configuration(fleet, 5 + number, routes)
            await trio.sleep(0.8)
            served.append((await fleet.call(prefix)).content)
        return served

    _run_on_fleet(context, act)


@then('each time the new route is served by the new endpoint')
def check_followed(context):
    expected = ['answer of e{0}'.format(number + 1) for number in range(len(context.result))]
    assert [content.decode() for content in context.result] == expected, context.result


@when('a caller sends a request in chunks with "{field}" behind them')
def send_trailer(context, field):
    raw = encode_call('/1', attempt='a1').replace(
        b'Content-Length: 0\r\n', b'Transfer-Encoding: chunked\r\n'
    )
    raw += b'1\r\nx\r\n0\r\n%b\r\n\r\n' % field.encode()

    _send_and_time(context, raw)


@when('its entry names another address, where it listens, and a caller sends {count:d} requests')
def move_endpoint(context, count):
    async def act(fleet):
        await fleet.call('/a')
        moved = Backend('e0')
        address = '127.0.0.1:{0}'.format(free_port())
        await fleet._listen(address, moved.respond)
        fleet.change_endpoint('e0', address=address)
        await trio.sleep(0.4)
        replies = [await fleet.call('/a') for _ in range(count)]
        return [reply.status for reply in replies], len(moved.requests)

    _run_on_fleet(context, act)


@then('they are answered from there')
def check_moved(context):
    statuses, runs = context.result
    assert set(statuses) == {200} and runs == len(statuses), context.result
