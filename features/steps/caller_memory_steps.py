"""Steps for callers that make an instance keep much."""

import trio
from behave import then, when

from emulator.caller_exchange import encode_call
from features.steps.byte_flood_steps import (
    _await_sound,
    _call_sound,
    _describe,
    _sample_memory,
    _start_entry,
)
from features.steps.entry_steps import _run_on_fleet

_MEGABYTE = 1048576


async def _open(address):
    host, _, port = address.rpartition(':')
    sock = trio.socket.socket()
    await sock.connect((host, int(port)))
    return sock


async def _send_endless_body(address, received, is_over):
    raw = encode_call('/sound/a', content=b'x' * (2 * _MEGABYTE), deadline_ms=10000)
    with await _open(address) as sock:
        try:
            await _send_all(sock, raw[:_MEGABYTE])
            received.append(await sock.recv(_MEGABYTE))
        except OSError:
            received.append(b'')


async def _keep_connection(address, received, is_over):
    with await _open(address) as sock:
        await _send_all(sock, encode_call('/sound/a', content=b'x' * 110000, deadline_ms=10000))
        received.append(await sock.recv(_MEGABYTE))
        await is_over.wait()


async def _read_nothing(address, received, is_over):
    with await _open(address) as sock:
        await _send_all(sock, encode_call('/large/a', deadline_ms=10000))
        await is_over.wait()


async def _send_all(sock, raw):
    view = memoryview(raw)
    while view:
        view = view[await sock.send(view) :]


_ACTS = {
    'send 1 MB of a body that does not end': _send_endless_body,
    'keep their connections after long bodies': _keep_connection,
    'read no answer of 4 MB': _read_nothing,
}


@when('{count:d} callers {act}, and sound requests come beside them')
def hold_memory(context, count, act):
    context.sound, context.peak_megabytes = [], 0.0
    received, is_over = [], trio.Event()

    async def act_on(fleet):
        await fleet.add_backend('large', 'large', 'answer with 4 MB', batch_slots=400)
        process, address = await _start_entry(context, fleet, 'unsafe')

        async with trio.open_nursery() as beside:
            beside.start_soon(_sample_memory, context, process.pid)
            for number in range(count):
                beside.start_soon(_ACTS[act], address, received, is_over)
                if number % 20 == 0:
                    await trio.sleep(0.06)
            beside.start_soon(_call_sound, context, address)
            await trio.sleep(3)
            await _await_sound(context)
            beside.cancel_scope.cancel()
        context.is_running = process.poll() is None
        return received

    _run_on_fleet(context, act_on)


@then('the process takes less than its memory, and nothing that did not run is told to have run')
def check_callers(context):
    assert context.is_running
    found = _describe(context)
    statuses = {answer[9:12] for answer in context.result}
    print(statuses)
    assert statuses <= {b'', b'200', b'408', b'503'}, statuses
    assert context.peak_megabytes < context.memory, found
