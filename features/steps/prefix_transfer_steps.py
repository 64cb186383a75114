"""Steps for engines that copy cached parts of prompts from each other."""

import math

import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.entry_fleet import route
from features.steps.endpoint_wishes_steps import _find_live_endpoint
from features.steps.entry_steps import _put_configuration, _run_on_fleet
from fireflymux.decisions.engine_choice import EngineView
from fireflymux.decisions.prefix_transfer import TransferRate, plan_transfers
from fireflymux.http.messages import find_header

_SLOTS = 8
_PROMPT = 'X-Model: m\r\nX-Token-Usage: 7000,20\r\nX-Prompt-Prefix: a1:2000,b2:4000,{0}:1000'


@when('prompts meet engines that have cached any number of their tokens')
def plan_any(context):
    failures = []

    @hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @generate(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 9000), strategies.integers(0, 50000)),
            min_size=1,
            max_size=8,
        ),
        strategies.sampled_from((0.0, 1e9, 550e9)),
    )
    def check(engines, link):
        rate = TransferRate(token_bytes=18432.0, link_bits_per_second=link)
        views = [
            EngineView(
                number=number,
                pending_tokens=pending,
                running=1,
                slots=_SLOTS,
                cached_tokens=cached,
                tokens_per_second=80000.0,
            )
            for number, (cached, pending) in enumerate(engines)
        ]
        plan_transfers(views, rate)
        most = max(view.cached_tokens for view in views)
        for view in views:
            missing = most - view.cached_tokens
            seconds = rate.estimate_seconds(missing)
            is_faster = missing > 0 and seconds < missing / view.tokens_per_second
            is_right = view.source is None and not view.fetched_tokens
            if is_faster:
                source = views[view.source] if view.source is not None else view
                is_right = source.cached_tokens == most and view.fetched_tokens == missing
                is_right = is_right and math.isclose(view.fetch_seconds, seconds)
            if not is_right:
                failures.append((engines, link, view))

    check()
    context.result = failures


@then(
    'each engine copies what the best other one has beyond it, if that is faster than processing it'
)
def check_plans(context):
    assert not context.result, context.result[0]


def _build_engines(*, is_configured_late=False, **engine):
    async def build(fleet):
        for name in ('e0', 'e1'):
            await fleet.add_backend(name, 'pool', 'stream', batch_slots=_SLOTS)
        capacity = {'batch_slots': _SLOTS, 'kv_capacity': 300000}
        address = await fleet.start_store()
        if is_configured_late:
            await fleet.add_instance(address)
            await trio.sleep(0.3)
        _put_configuration(
            fleet,
            5,
            [route('/', 'streaming', 'pool', session_affinity=True, target_latency_ms=1000)],
            services=[{'name': 'pool', 'max_connections': 50, 'engine': capacity | engine}],
        )
        if not is_configured_late:
            await fleet.add_instance(address)
        await fleet.wait_ready()

    return build


@given('engines that copy cached parts from each other, and a session at one of them')
def copying_engines(context):
    context.build = _build_engines(kv_token_bytes=18432, link_mbps=550000.0)


@given('engines that copy cached parts from each other, whose configuration is written after them')
def late_configuration(context):
    context.build = _build_engines(
        is_configured_late=True, kv_token_bytes=18432, link_mbps=550000.0
    )


@given('engines that cannot copy cached parts from each other, and a session at one of them')
def other_engines(context):
    context.build = _build_engines()


async def _find_home(fleet):
    """Sends the first prompt of a session; returns the engines, the one that got it first."""
    reply = await fleet.call('/a', more=_PROMPT.format('c3'))
    assert reply.status == 200, reply
    return sorted(fleet.backends.values(), key=lambda backend: not backend.requests)


async def _go_on(fleet, home, other):
    reply = await fleet.call('/a', more=_PROMPT.format('c4'))
    address = ''
    if other.requests:
        address = find_header(other.requests[-1].fields, b'kv-fetch').decode()
    first = _find_live_endpoint(fleet, home.name)
    return reply.status, len(other.requests), address, first and first.endpoint


@when('that engine holds all the requests that it may, and the session goes on')
def fill_home(context):
    async def act(fleet):
        home, other = await _find_home(fleet)
        state = fleet.instances[0]._state
        number = _find_live_endpoint(fleet, home.name).number
        for _ in range(2 * _SLOTS):
            state.loads.begin(number, 0)
        return await _go_on(fleet, home, other)

    _run_on_fleet(context, act)


@when('that engine leaves, and the session goes on')
def leave_home(context):
    async def act(fleet):
        home, other = await _find_home(fleet)
        fleet.change_endpoint(home.name, state='draining')
        await trio.sleep(0.3)
        return await _go_on(fleet, home, other)

    _run_on_fleet(context, act)


@then('the session goes on at the other engine, which is told the address of the first')
def check_address(context):
    status, requests, address, first = context.result
    assert (status, requests) == (200, 1), context.result
    assert address == '{0.host}:{0.port}'.format(first), context.result


@then('the session goes on at the other engine, which is told no address')
def check_no_address(context):
    status, requests, address, _ = context.result
    assert (status, requests, address) == (200, 1, ''), context.result
