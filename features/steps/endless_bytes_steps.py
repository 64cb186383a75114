"""Steps for endpoints that send endless data."""

import tracemalloc

import trio
from behave import then, when

from features.steps.entry_steps import _run_on_fleet

_MEGABYTE = 1048576


@when('a caller sends a request, and another one after the endpoint has recovered')
def send_two(context):
    async def act(fleet):
        backend = fleet.backends['e0']
        state = fleet.instances[0]._state
        (live,) = state._endpoints.values()
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            started = trio.current_time()
            first = await fleet.call('/a')
            context.first_seconds = trio.current_time() - started
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        context.allocated_megabytes = (peak - before) / _MEGABYTE
        context.failure_rate = live.record.failure_rate
        # Instances check idle connections once a second and close those that received data.
        await trio.sleep(1.2)
        context.closed_connections = len(backend.left)
        backend.behaviour = 'answer'
        second = await fleet.call('/a')
        return first, second

    _run_on_fleet(context, act)


@then(
    'the first is answered {status:d} within {milliseconds:d} ms,'
    ' with at most {bound:g} MB more memory'
)
def check_first(context, status, milliseconds, bound):
    first, _ = context.result
    assert first.status == status and first.is_whole, first
    # The margin is for an answer that is sent when the timeout of its route expires.
    assert context.first_seconds <= milliseconds / 1000 + 0.15, context.first_seconds
    assert context.allocated_megabytes <= bound, context.allocated_megabytes


@then(
    "the endpoint's connection was closed, it counts as failing,"
    ' and the second gets its own response'
)
def check_failing(context):
    check_second_response(context)
    assert context.failure_rate > 0, context.failure_rate


@then("the endpoint's connection was closed, and the second gets its own response")
def check_second_response(context):
    _, second = context.result
    assert context.closed_connections == 1, context.closed_connections
    assert second.status == 200 and second.content == b'answer of e0', second


@then(
    'the first ends incomplete within {milliseconds:d} ms, after complete events only,'
    ' with at most {bound:g} MB more memory'
)
def check_incomplete_stream(context, milliseconds, bound):
    first, _ = context.result
    assert not first.is_whole, first
    assert first.content == b'id: 0\ndata: piece 0\n\n', first.content[:99]
    assert context.first_seconds <= milliseconds / 1000 + 0.15, context.first_seconds
    assert context.allocated_megabytes <= bound, context.allocated_megabytes
