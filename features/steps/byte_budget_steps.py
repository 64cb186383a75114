"""Steps for what messages hold, with random cuts and orders."""

import hypothesis.strategies as st
import trio
import trio.testing
from behave import then, when
from hypothesis import given, settings

from emulator.flooding_server import _SHAPES
from fireflymux.http.byte_budget import ByteBudget
from fireflymux.http.response_parser import ResponseParser
from fireflymux.http.response_reader import ResponseReader, ResponseTooLarge

_FLOOD_BYTES = 600000
_MOST_HELD_BYTES = 262144
_LIMIT_BYTES = 1000000
_SOURCES = ('a', 'b', 'c')


def _flood(shape, sizes):
    """Feeds a flood in pieces; returns the most that was held, and whether it was given up."""
    parser = ResponseParser()
    held = ByteBudget().open('endpoint')
    reader = ResponseReader(None, None, parser, held)
    start, unit = _SHAPES[shape]
    content = start.replace(b'%b', b'a') + unit * (_FLOOD_BYTES // len(unit))
    offset = number = 0
    while offset < len(content):
        size = sizes[number % len(sizes)]
        number += 1
        try:
            reader._feed_parser(content[offset : offset + size])
        except ResponseTooLarge:
            return held.largest_size, True
        held.resize(parser.held_bytes)
        offset += size
        if parser.is_malformed:
            return held.largest_size, True
        # Whoever reads takes the body away, as a relay does.
        for response in parser.responses:
            response.unread.clear()
    return held.largest_size, False


@when('floods of every shape but comments arrive in pieces of any length')
def cut_floods(context):
    context.floods = []
    sizes = st.lists(st.sampled_from((1, 2, 3, 7, 100, 999, 4096)), min_size=1, max_size=4)

    @settings(max_examples=15, deadline=None)
    @given(st.sampled_from([shape for shape in _SHAPES if shape != 'comments']), sizes)
    def run(shape, sizes):
        # Single bytes throughout would take long.
        sizes = [*sizes, 4096]
        context.floods.append((shape, *_flood(shape, sizes)))

    run()


@then('each holds at most 256 KB at any time, until it is given up or its body has no bound here')
def check_floods(context):
    for shape, most, is_given_up in context.floods:
        assert most <= _MOST_HELD_BYTES, (shape, most)
        has_body = shape.startswith(('a body', 'chunks', 'small chunks', 'an event'))
        assert is_given_up or has_body, (shape, most)


async def _move(budget, steps):
    messages = []
    async with trio.open_nursery() as nursery:
        for source, step, size in steps:
            if step == 'open' or not messages:
                messages.append(budget.open(_SOURCES[source], lambda: None))
            message = messages[size % len(messages)]
            if step == 'close':
                message.close()
                messages.remove(message)
            elif step == 'wait':
                nursery.start_soon(message.wait_for_room)
            else:
                message.resize(size)
            await trio.testing.wait_all_tasks_blocked()
            assert budget.held_bytes == sum(
                message.size for message in messages if not message.is_given_up
            )
            assert budget.held_bytes <= budget.limit_bytes, budget.held_bytes
        for message in messages:
            message.close()
        with trio.fail_after(1):
            await trio.testing.wait_all_tasks_blocked()
        waiting = len(nursery.child_tasks)
        nursery.cancel_scope.cancel()
    assert not budget.held_bytes and not budget._by_source and not waiting, waiting


@when('messages of some sources grow, pause, end and are given up in any order')
def move_messages(context):
    step = st.sampled_from(('open', 'resize', 'resize', 'wait', 'close'))
    steps = st.lists(
        st.tuples(st.integers(0, 2), step, st.integers(0, 400000)), min_size=1, max_size=40
    )
    context.examples = 0

    @settings(max_examples=80, deadline=None)
    @given(steps)
    def run(steps):
        trio.run(_move, ByteBudget(_LIMIT_BYTES), steps)
        context.examples += 1

    run()


@then('the sum is right at each step, within its bound, and nobody is left waiting')
def check_sum(context):
    assert context.examples >= 80, context.examples
