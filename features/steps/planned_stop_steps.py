"""Steps for requests that an entry instance still has when its shutdown timeout ends."""

import trio
from behave import given, then, when

from emulator.caller_exchange import encode_call, exchange
from emulator.entry_fleet import configuration, open_fleet, route
from fireflymux.http.client_connection import ClientConnection, ConnectionBroken

_STOP_SECONDS = 4.0
_LONG_MILLISECONDS = 20000
#: Times at which requests are sent, in seconds after the stop begins.
_SEND_TIMES = (-0.5, 1.0, 2.0)
_SLACK_SECONDS = 0.3


@given(
    'a "{kind}" route whose endpoint answers "{behaviour}", and an instance with 4 seconds to stop'
)
def set_fleet(context, kind, behaviour):
    context.kind = kind
    context.behaviour = behaviour


async def _exchange_on(connection, raw):
    """Sends a request on an open connection; returns the status and whether the answer is whole."""
    status = 0
    try:
        await connection._socket.send(raw)
        answer = await connection.next_response()
        status = answer.head.status
        while await connection.next_body_part(answer):
            continue
        connection.drop(answer)
    except ConnectionBroken:
        return status, False
    return status, True


async def _call_on_new(address, at, replies):
    await trio.sleep_until(at)
    raw = encode_call('/a', content=b'%f' % at, deadline_ms=_LONG_MILLISECONDS)
    reply = await exchange(address, raw)
    replies.append((reply.status, reply.is_whole, trio.current_time()))


async def _call_on_kept(address, at, replies):
    host, _, port = address.rpartition(':')
    connection = await ClientConnection.open(host, int(port), timeout_seconds=2)
    status, _ = await _exchange_on(connection, encode_call('/a', host='nowhere.example'))
    assert status == 404, status
    await trio.sleep_until(at)
    raw = encode_call('/a', content=b'kept %f' % at, deadline_ms=_LONG_MILLISECONDS)
    status, is_whole = await _exchange_on(connection, raw)
    replies.append((status, is_whole, trio.current_time()))
    connection.close()


@when(
    'requests are sent 0.5 seconds before the stop, 1 and 2 seconds after it, on kept and new '
    'connections'
)
def send_around_stop(context):
    async def run():
        replies = []
        with trio.fail_after(30):
            async with open_fleet() as fleet:
                await fleet.add_backend('e0', 'pool', context.behaviour, batch_slots=50)
                routes = [
                    route('/', context.kind, 'pool', timeout_ms=_LONG_MILLISECONDS, max_attempts=1)
                ]
                fleet.store.put('op', 'config', configuration(5, routes))
                address = await fleet.start_store()
                instance = await fleet.add_instance(
                    address, shutdown_timeout_seconds=_STOP_SECONDS
                )
                await fleet.wait_ready()
                begins_at = trio.current_time() + 1
                async with trio.open_nursery() as nursery:
                    for seconds in _SEND_TIMES:
                        at = begins_at + seconds
                        caller_address = fleet.settings[0].caller_address
                        nursery.start_soon(_call_on_new, caller_address, at, replies)
                        nursery.start_soon(_call_on_kept, caller_address, at, replies)
                    await trio.sleep_until(begins_at)
                    await instance._stop()
                    stopped_at = trio.current_time()
                given_ms = [
                    int(value)
                    for request in fleet.backends['e0'].requests
                    for name, value in request.fields
                    if name.lower() == b'x-deadline-ms'
                ]
                return replies, stopped_at, given_ms

    context.replies, context.stopped_at, context.given_ms = trio.run(run)


@then('each of them is answered with "{status}" before the instance has stopped')
def check_answers(context, status):
    assert len(context.replies) == 2 * len(_SEND_TIMES), context.replies
    for answered, is_whole, at in context.replies:
        assert answered == int(status) and is_whole, context.replies
        assert at <= context.stopped_at, (at, context.stopped_at)


@then('no endpoint was given more time than the instance had left')
def check_deadlines(context):
    # The first two were sent before the stop.
    later = context.given_ms[2:]
    assert later and max(later) <= _STOP_SECONDS * 1000, context.given_ms


@then('each of them ends as broken off before the instance has stopped')
def check_broken_off(context):
    assert len(context.replies) == 2 * len(_SEND_TIMES), context.replies
    for status, is_whole, at in context.replies:
        assert status == 200 and not is_whole, context.replies
        assert at <= context.stopped_at + _SLACK_SECONDS, (at, context.stopped_at)
