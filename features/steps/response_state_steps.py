"""Steps for what a connection of a caller gets around the response to one request."""

import socket
import struct

import trio
from behave import given, then, when

from emulator.caller_exchange import KEY, encode_call
from emulator.entry_fleet import free_port
from features.steps.broken_stream_steps import parse_stream, read_to_close
from features.steps.entry_steps import _run_on_fleet
from fireflymux.entry.event_relay import EventRelay
from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HttpLimits
from fireflymux.http.response_writer import ResponseStateError, ResponseWriter

_EVENTS = tuple(b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(3))
_LARGE_BYTES = 4000000
_PAUSE_SECONDS = 0.2
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_WAITING_HEAD = (
    (
        'POST /b HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: waiting\r\nX-Deadline-Ms: 2000\r\n'
        'Authorization: Token {0}\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n'
    )
    .format(KEY)
    .encode()
)


def _open_writer(sock):
    writer = ResponseWriter(trio.socket.from_stdlib_socket(sock), sock, is_stopping=bool)
    writer.begin(method=b'POST', keeps_alive=True)
    return writer


def _connect_pair():
    """Returns the server's and the caller's end of a connection, both non-blocking."""
    pair = socket.socketpair()
    for sock in pair:
        sock.setblocking(False)
    return pair


def _receive_available(sock):
    received = b''
    while True:
        try:
            part = sock.recv(65536)
        except BlockingIOError:
            return received
        received += part


async def _is_refused(write, *arguments):
    try:
        await write(*arguments)
    except (ResponseStateError, ConnectionAbortedError):
        return True
    return False


@given('a relay of events to a connection')
def relay_to_connection(context):
    context.server_socket, context.caller_socket = _connect_pair()


@when('the write of the first event is cancelled, and another endpoint starts over')
def cancel_first_event(context):
    async def act():
        writer = _open_writer(context.server_socket)
        relay = EventRelay(writer, resume_after=-1, has_event_ids=True)
        with trio.CancelScope() as scope:
            scope.cancel()
            await relay.forward(_EVENTS[0], 200, [])
        relay.begin_attempt(200, [])
        for event in _EVENTS:
            await relay.forward(event, 200, [])
        await relay.end(200, [])

    trio.run(act)


@then('the caller got the head and every event once')
def check_events_once(context):
    stream = parse_stream(_receive_available(context.caller_socket))
    assert stream.content == b''.join(_EVENTS) and stream.has_end, stream


@given('a response to a caller that does not read')
def response_unread(context):
    relay_to_connection(context)


@when('a write is cancelled midway, and an error and a chunk are written after it')
def cancel_midway(context):
    async def act():
        writer = _open_writer(context.server_socket)
        with trio.move_on_after(_PAUSE_SECONDS):
            await writer.answer(200, [], b'x' * _LARGE_BYTES)
        context.part = _receive_available(context.caller_socket)
        context.refused = [
            await _is_refused(writer.answer, 504, [], b'late'),
            await _is_refused(writer.send_chunk, b'more'),
        ]
        context.is_broken = writer.is_broken

    trio.run(act)


@then('both writes are refused, and the caller got only the part before them')
def check_refused(context):
    assert context.refused == [True, True] and context.is_broken, context.refused
    assert 0 < len(context.part) < _LARGE_BYTES, len(context.part)
    assert _receive_available(context.caller_socket) == b''


async def _receive_until(stream, received, wanted):
    """Receives until the bytes contain the wanted ones, or nothing more comes in time."""
    with trio.move_on_after(2):
        while wanted not in received:
            received += await stream.receive_some()
    return received


@when(
    'a caller reads a stream,'
    ' and sends the head of a request that waits to be told to continue meanwhile'
)
def pipeline_expecting(context):
    async def act(fleet):
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(encode_call('/a'))
            context.first = await _receive_until(stream, b'', b'piece 0')
            await stream.send_all(_WAITING_HEAD)
            context.first = await _receive_until(stream, context.first, _CONTINUE)
            await stream.send_all(b'body')
            context.second = await _receive_until(stream, b'', b'0\r\n\r\n')

    _run_on_fleet(context, act)


@then('the caller reads the stream to its end, then the word to continue, then the second stream')
def check_continue_order(context):
    assert context.first.endswith(_CONTINUE), context.first
    for raw in (context.first[: -len(_CONTINUE)], context.second):
        stream = parse_stream(raw)
        assert stream.has_end and stream.content.count(b'data: piece') == 6, raw


@when(
    '{count:d} callers send the head of a request that waits to be told to continue,'
    ' and reset their connections'
)
def reset_expecting(context, count):
    async def act(fleet):
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        for _ in range(count):
            with socket.create_connection((host, int(port))) as sock:
                # Closing then resets the connection instead of shutting it down.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                sock.send(_WAITING_HEAD)
            await trio.sleep(0.05)
        return await fleet.call('/a')

    _run_on_fleet(context, act)


@then('another caller is still served')
def check_served(context):
    assert context.result.status == 200 and context.result.is_whole, context.result


@given('a listener whose handler fails for one path')
def failing_listener(context):
    async def handle(request, writer):
        if request.path == b'/fails':
            raise KeyError(request.path)
        await trio.sleep(_PAUSE_SECONDS)
        await writer.answer(200, [], request.path)

    context.listener_address = '127.0.0.1:{0}'.format(free_port())
    context.listener = Listener(
        context.listener_address, handle, limits=HttpLimits, is_stopping=bool
    )


@when('a caller asks for that path while another waits for its response')
def call_failing(context):
    async def ask(path, received):
        raw = encode_call(path, more='Connection: close')
        received[path] = await read_to_close(context.listener_address, raw)

    async def act():
        context.received = {}
        async with trio.open_nursery() as nursery:
            await nursery.start(context.listener.run)
            async with trio.open_nursery() as callers:
                callers.start_soon(ask, '/waits', context.received)
                await trio.sleep(_PAUSE_SECONDS / 2)
                callers.start_soon(ask, '/fails', context.received)
            await ask('/later', context.received)
            nursery.cancel_scope.cancel()

    trio.run(act)


@then('the other caller gets its response, and so does a new one')
def check_others(context):
    received = context.received
    assert received['/waits'].endswith(b'/waits'), received
    assert received['/later'].endswith(b'/later'), received
    assert received['/fails'] == b'', received


@when('a caller asks by HEAD without a key, and then by POST on the same connection')
def ask_by_head(context):
    async def act(fleet):
        raw = encode_call('/a', method='HEAD', key='') + encode_call(
            '/a', more='Connection: close'
        )
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@then('the two responses are read without a byte between them')
def check_two_responses(context):
    first, _, second = context.result.partition(b'\r\n\r\n')
    assert first.startswith(b'HTTP/1.1 401'), context.result
    assert second.startswith(b'HTTP/1.1 200') and second.endswith(b'answer of e0'), context.result


@when('a caller sends "{method}" with "{fields}" and a body')
def send_upgrade(context, method, fields):
    async def act(fleet):
        more = fields.replace('\\r\\n', '\r\n')
        raw = encode_call('/a', method=method, more=more, content=b'abc')
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@then('it is answered {status:d} once, and the endpoint ran nothing')
def check_refused_once(context, status):
    head, _, content = context.result.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), context.result
    assert b'HTTP/1.1' not in content, context.result
    assert not context.entry_fleet.backends['e0'].requests


@when('a caller asks once')
def ask_once(context):
    async def act(fleet):
        return await fleet.call('/a')

    _run_on_fleet(context, act)


@when('a caller asks once and accepts gzip')
def ask_once_accepting(context):
    async def act(fleet):
        return await fleet.call('/a', more='Accept-Encoding: gzip')

    _run_on_fleet(context, act)


@then('it is answered {status:d}')
def check_status(context, status):
    assert context.result.status == status and context.result.is_whole, context.result


@when(
    'an instance stops while a caller reads a stream,'
    ' behind which a request waits to be told to continue'
)
def stop_with_expecting(context):
    async def act(fleet):
        state = fleet.instances[0]._state
        state.is_stopping = True
        raw = encode_call('/a') + _WAITING_HEAD
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@given('a listener whose handler sends a part of its response only')
def unfinished_listener(context):
    async def handle(request, writer):
        await writer.start(200, [], _EVENTS[0])

    context.listener_address = '127.0.0.1:{0}'.format(free_port())
    context.listener = Listener(
        context.listener_address, handle, limits=HttpLimits, is_stopping=bool
    )


@when('a caller sends two requests on one connection')
def send_two(context):
    async def act():
        async with trio.open_nursery() as nursery:
            await nursery.start(context.listener.run)
            raw = encode_call('/a') + encode_call('/b')
            context.result = await read_to_close(context.listener_address, raw)
            nursery.cancel_scope.cancel()

    trio.run(act)
