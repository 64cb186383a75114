"""Steps for callers that speak HTTP/1.0, ask by HEAD, or read slowly or not at all."""

import os
import re
import signal
import socket

import trio
from behave import given, then, when

from emulator.caller_exchange import encode_call
from emulator.entry_fleet import free_port
from features.steps.broken_stream_steps import read_to_close
from features.steps.entry_steps import _run_on_fleet
from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HttpLimits
from fireflymux.http.response_writer import ResponseWriter

_MEGABYTE = 1000000
_PART = b'data: a part\n\n'
_PAUSE_SECONDS = 0.2
_SMALL_BUFFER_BYTES = 16384
#: Number of further requests, and the time after the first one until they are sent, in seconds.
_FURTHER_REQUESTS = {
    'another one': (1, 0),
    'six others': (6, 0),
    'another one a moment later': (1, 0.2),
}
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Limits of a listener by the part of a request whose rest they wait for.
_TIMEOUTS = {'head': 'header_seconds', 'body': 'idle_seconds'}
_SLOW_READ_BYTES = 65536
_SLOW_READ_PAUSE_SECONDS = 0.02


def _encode_old_call(path, **options):
    return encode_call(path, **options).replace(b'HTTP/1.1', b'HTTP/1.0', 1)


async def _read_to_end(address, raw):
    """Sends bytes on a new connection; returns what is received, and whether it was reset."""
    host, _, port = address.rpartition(':')
    received = b''
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(raw)
        with trio.fail_after(5):
            try:
                while part := await stream.receive_some():
                    received += part
            except trio.BrokenResourceError:
                return received, True
    return received, False


@when('an HTTP/1.0 caller reads a stream')
def read_as_old_caller(context):
    async def act(fleet):
        return await _read_to_end(fleet.settings[0].caller_address, _encode_old_call('/a'))

    _run_on_fleet(context, act)


@then('it gets {count:d} events behind a head that states no coding, and the connection {end}')
def check_plain_stream(context, count, end):
    received, is_reset = context.result
    head, _, content = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 '), received
    names = {line.partition(b':')[0].lower() for line in head.split(b'\r\n')[1:]}
    assert not names & {b'transfer-encoding', b'content-length'}, head
    events = content.split(b'\n\n')
    assert not events.pop() and len(events) == count, content
    assert all(event.startswith(b'id: %d\n' % index) for index, event in enumerate(events))
    assert is_reset == (end == 'is reset'), context.result


async def _fail():
    raise KeyError('a mistake of the handler')


_ENDINGS = {'waits': trio.sleep_forever, 'fails': _fail, 'returns': trio.lowlevel.checkpoint}


@given('a listener whose handler sends a part of its response and {ending}')
def listener_with_part(context, ending):
    async def handle(request, writer):
        await writer.start(200, [], _PART)
        await _ENDINGS[ending]()

    context.listener_address = '127.0.0.1:{0}'.format(free_port())
    context.listener = Listener(
        context.listener_address, handle, limits=HttpLimits, is_stopping=bool
    )


@when('an HTTP/1.0 caller asks, and the listener is cancelled a moment later')
def ask_and_cancel(context):
    async def act():
        async with trio.open_nursery() as callers, trio.open_nursery() as nursery:
            await nursery.start(context.listener.run)
            callers.start_soon(ask)
            await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()

    async def ask():
        context.result = await _read_to_end(context.listener_address, _encode_old_call('/a'))

    trio.run(act)


@then('it gets the part, and the connection is reset')
def check_part_and_reset(context):
    received, is_reset = context.result
    assert received.endswith(b'\r\n\r\n' + _PART) and is_reset, context.result


async def _write_in_child(sock, ending):
    writer = _open_stalling_writer(sock, 1, accepts_chunks=False)
    if ending == 'sends an error in place of it':
        with trio.CancelScope() as scope:
            scope.cancel()
            await writer.start(200, [], b'event')
        await writer.answer(502, [], b'event')
        return
    await writer.start(200, [], b'event')
    if ending == 'is killed within it':
        os.kill(os.getpid(), signal.SIGKILL)
    if ending == 'completes it':
        await writer.end()


def _connect_pair():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname(), timeout=5)
        accepted = listener.accept()[0]
    accepted.setblocking(False)
    return accepted, caller


@when('a process writes a stream to an HTTP/1.0 caller and {ending}')
def write_in_process(context, ending):
    accepted, caller = _connect_pair()
    child = os.fork()
    if not child:
        try:
            trio.run(_write_in_child, accepted, ending)
            accepted.close()
        finally:
            os._exit(0)
    accepted.close()
    os.waitpid(child, 0)
    context.received, context.end = b'', 'ends'
    with caller:
        try:
            while part := caller.recv(_SLOW_READ_BYTES):
                context.received += part
        except ConnectionResetError:
            context.end = 'is reset'


@then('the caller gets what was written, and its connection {end}')
def check_end(context, end):
    assert context.received.endswith(b'event') and context.end == end, (
        context.received,
        context.end,
    )


@when('an HTTP/1.0 caller sends a request with a body and an expectation to be told to continue')
def send_old_expectation(context):
    async def act(fleet):
        raw = _encode_old_call('/a', content=b'body', more='Expect: 100-continue')
        host, _, port = fleet.settings[0].caller_address.rpartition(':')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(raw[:-4])
            await trio.sleep(0.1)
            await stream.send_all(raw[-4:])
            return await stream.receive_some()

    _run_on_fleet(context, act)


@then('the first bytes that it reads are the head of its response')
def check_no_interim(context):
    assert context.result.startswith(b'HTTP/1.1 200 '), context.result


@when('a caller asks by HEAD with {size:d} bytes of header fields')
def ask_by_large_head(context, size):
    async def act(fleet):
        raw = encode_call('/a', method='HEAD', more='X-Padding: {0}'.format('x' * size))
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@then('it gets a head with status {status:d} and nothing behind it')
def check_head_alone(context, status):
    head, _, content = context.result.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status) and not content, context.result


@when('a caller sends "{first}" with two Host fields and "{second}" in one write')
def send_invalid_and_other(context, first, second):
    async def act(fleet):
        raw = encode_call('/a', method=first, more='Host: other') + encode_call(
            '/b', method=second
        )
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@then('it gets status {status:d} with {body} as "{method}" asks for')
def check_body_by_method(context, status, body, method):
    head, _, content = context.result.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), context.result
    stated = int(re.search(b'Content-Length: ([0-9]+)', head).group(1))
    assert stated and len(content) == (stated if body == 'a body' else 0), context.result


def _open_stalling_writer(sock, stall_seconds, **terms):
    writer = ResponseWriter(
        trio.socket.from_stdlib_socket(sock), sock, is_stopping=bool, stall_seconds=stall_seconds
    )
    writer.begin(method=b'POST', keeps_alive=True, **terms)
    return writer


@when('{size:d} megabytes are written to it with a stall time of {seconds:g} s')
def write_unread(context, size, seconds):
    async def act():
        writer = _open_stalling_writer(context.server_socket, seconds)
        started = trio.current_time()
        context.error = None
        with trio.move_on_after(5):
            try:
                await writer.answer(200, [], b'x' * size * _MEGABYTE)
            except OSError as error:
                context.error = error
        context.seconds = trio.current_time() - started
        context.is_broken = writer.is_broken

    trio.run(act)


@then('the write fails within {seconds:g} s, and the response is broken')
def check_write_failed(context, seconds):
    assert isinstance(context.error, ConnectionAbortedError), context.error
    assert context.seconds <= seconds and context.is_broken, context.seconds


async def _read_slowly(sock, size):
    received = 0
    while received < size:
        received += len(await sock.recv(_SLOW_READ_BYTES))
        await trio.sleep(_SLOW_READ_PAUSE_SECONDS)
    return received


@when(
    '{size:d} megabytes are written to it with a stall time of {seconds:g} s'
    ' while it reads for longer than that'
)
def write_to_slow_reader(context, size, seconds):
    async def act():
        writer = _open_stalling_writer(context.server_socket, seconds)
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.answer, 200, [], b'x' * size * _MEGABYTE)
            sock = trio.socket.from_stdlib_socket(context.caller_socket)
            with trio.fail_after(20):
                context.received = await _read_slowly(sock, size * _MEGABYTE)
        assert trio.current_time() - started > 2 * seconds
        context.is_complete = writer.is_complete
        context.size = size * _MEGABYTE

    trio.run(act)


@then('the whole response arrives')
def check_whole(context):
    assert context.received >= context.size and context.is_complete, context.received


@given(
    'a listener that takes {pause:g} s for each response'
    ' and waits {seconds:g} s for the rest of a {part}'
)
def slow_listener(context, pause, seconds, part):
    async def handle(request, writer):
        await trio.sleep(pause)
        await writer.answer(200, [], request.content)

    limits = HttpLimits(**{_TIMEOUTS[part]: seconds})
    context.listener_address = '127.0.0.1:{0}'.format(free_port())
    context.listener = Listener(
        context.listener_address, handle, limits=lambda: limits, is_stopping=bool
    )


def _run_with_listener(context, act):
    async def run():
        async with trio.open_nursery() as nursery:
            await nursery.start(context.listener.run)
            context.result = await act()
            nursery.cancel_scope.cancel()

    trio.run(run)


@when('a caller sends {count:d} requests and a part of another one, and the rest of it at once')
def pipeline_part(context, count):
    async def act():
        host, _, port = context.listener_address.rpartition(':')
        last = encode_call('/last', more='Connection: close')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(encode_call('/a') * count + last[:20])
            # Time for the listener to read the part by itself.
            await trio.sleep(0.05)
            await stream.send_all(last[20:])
            return await _receive_all(stream)

    _run_with_listener(context, act)


@when('a caller sends a request, and behind it one that waits to be told to continue')
def pipeline_waiting(context):
    async def act():
        host, _, port = context.listener_address.rpartition(':')
        raw = encode_call('/b', content=b'body', more='Expect: 100-continue\r\nConnection: close')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(encode_call('/a') + raw.removesuffix(b'body'))
            received = b''
            with trio.fail_after(3):
                while _CONTINUE not in received and (part := await stream.receive_some()):
                    received += part
            await stream.send_all(b'body')
            return received.replace(_CONTINUE, b'') + await _receive_all(stream)

    _run_with_listener(context, act)


@when(
    'a caller sends two heads, each in two parts {seconds:g} s apart,'
    ' the second part of one with the first of the next'
)
def send_two_heads_in_parts(context, seconds):
    async def act():
        host, _, port = context.listener_address.rpartition(':')
        first, second = encode_call('/a'), encode_call('/b', more='Connection: close')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            for part in (first[:20], first[20:] + second[:20], second[20:]):
                await stream.send_all(part)
                await trio.sleep(seconds)
            return await _receive_all(stream)

    _run_with_listener(context, act)


async def _receive_all(stream):
    received = b''
    with trio.fail_after(5):
        while part := await stream.receive_some():
            received += part
    return received


@then('it gets {count:d} responses with status {status:d}')
def check_responses(context, count, status):
    heads = re.findall(b'HTTP/1.1 ([0-9]{3}) ', context.result)
    assert heads == [b'%d' % status] * count, context.result


@given('a listener that is stopping and answers with {size:d} megabyte')
def stopping_listener(context, size):
    async def handle(request, writer):
        await writer.answer(200, [], b'x' * size * _MEGABYTE)

    context.size = size * _MEGABYTE
    context.listener_address = '127.0.0.1:{0}'.format(free_port())
    context.listener = Listener(
        context.listener_address, handle, limits=HttpLimits, is_stopping=lambda: True
    )


@when('a caller sends a request, and {more} before it reads the response')
def send_more_before_reading(context, more):
    count, pause = _FURTHER_REQUESTS[more]

    async def act():
        host, _, port = context.listener_address.rpartition(':')
        sock = trio.socket.socket()
        with sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
            await sock.connect((host, int(port)))
            await sock.send(encode_call('/a') + encode_call('/b') * (0 if pause else count))
            await trio.sleep(_PAUSE_SECONDS)
            if pause:
                await sock.send(encode_call('/b'))
                await trio.sleep(pause)
            return await _count_received(sock)

    _run_with_listener(context, act)
    context.received, context.is_complete = context.result


async def _count_received(sock):
    """Reads slowly to the end; returns the number of bytes, and whether the end is a usual one."""
    received = 0
    with trio.fail_after(10):
        try:
            while part := await sock.recv(_SLOW_READ_BYTES):
                received += len(part)
                await trio.sleep(_SLOW_READ_PAUSE_SECONDS / 4)
        except ConnectionError:
            return received, False
    return received, True
