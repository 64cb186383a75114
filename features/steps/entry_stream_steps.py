"""Steps for streams through an entry instance: broken off, stalled, slow and resumed ones."""

import trio
from behave import given, then, when

from features.steps.entry_steps import _run_on_fleet, _set_up_one_route


@given('a resumable stream route with one endpoint that breaks off and one that streams')
def breaking_and_streaming(context):
    _set_up_one_route(context, 'streaming', ['stream and cut', 'stream'], stream_resume=True)


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
