"""Steps for connections to and from an entry instance: callers that leave, descriptors, pools."""

import errno
from functools import partial

import trio
from behave import given, then, when

from emulator.caller_exchange import encode_call
from emulator.entry_fleet import route
from features.steps.entry_steps import _count_runs, _put_configuration, _run_on_fleet
from fireflymux.http.client_connection import ConnectFailed


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


@then("the endpoint's connection ends within 0.3 s")
def check_disconnected(context):
    assert context.result == [b'gone'], context.result


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


@when('{count:d} callers who wait {seconds:d} seconds send requests at once')
def send_at_once(context, count, seconds):
    async def act(fleet):
        fleet.change_endpoint('e0', batch_slots=count)
        (live,) = fleet.instances[0]._state._endpoints.values()
        while live.endpoint.slots != count:
            await trio.sleep(0.02)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(partial(fleet.call, '/a', deadline_ms=seconds * 1000))
        return len(_find_only_pool(fleet)._idle)

    _run_on_fleet(context, act)


@then('the instance keeps {count:d} connections to the endpoint open')
def check_idle_connections(context, count):
    assert context.result == count, context.result
