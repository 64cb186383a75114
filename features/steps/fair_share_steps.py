"""Steps for the fair share of client accounts, on a fleet of emulated engines."""

import os
import threading
import time

import trio
from behave import given, then, when
from trio.testing import MockClock

from bench.deployment import POOL, Shape, account_names, start
from bench.fairness import bound
from emulator.engine import Engine, Generation
from emulator.load import AccountLoad, Load, fairness_gap, utilisation

_STEP_SECONDS = 0.01
#: Costs of a request, in cost units.
_LARGEST_COST = 18
_SMALLEST_COST = 2
_TOTALS_INTERVAL_SECONDS = 0.5
#: Time allowed for one message exchange between router and sidecar.
_MESSAGE_EXCHANGE_SECONDS = 0.05
_WARM_UP_SECONDS = 2.0


@given('a fleet of {engines:d} emulated engines with {slots:d} slots each and {routers:d} routers')
def start_fleet(context, engines, slots, routers):
    context.shape = Shape(
        name='test', routers=routers, domains=routers, engines=engines, accounts=4, slots=slots
    )
    context.deployment = start(
        context.shape,
        os.environ.get('FIREFLYMUX_VARIANT', 'chosen'),
        step_milliseconds=_STEP_SECONDS * 1000,
        fleet={
            'totals_interval_seconds': _TOTALS_INTERVAL_SECONDS,
            'heartbeat_interval_seconds': 0.25,
        },
    )
    context.fleet = context.deployment.fleet
    context.closers.append(context.fleet.close)


def _build_loads(context, **replaced):
    urls = [router.address for router in context.deployment.routers]
    loads = {}
    for number, (name, weight) in enumerate(context.deployment.weights.items()):
        # The second account sends requests three times as long, the third uses one router only.
        scale = 3 if number == 1 else 1
        loads[name] = {
            'account': name,
            'weight': weight,
            'routers': [urls[0]] if number == 2 else urls,
            'open_requests': 14,
            'tokens': (_SMALLEST_COST * scale, _LARGEST_COST // 3 * scale),
        }
    for name, terms in replaced.items():
        loads[name].update(terms)
    return [AccountLoad(**terms) for terms in loads.values()]


def _apply_load(context, seconds, loads, events=()):
    """Applies the load and calls each event at its second of the load."""

    def call_events():
        started_at = time.monotonic()
        for at, event in events:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            event()

    thread = threading.Thread(target=call_events)
    thread.start()
    load = Load(loads, context.deployment.engines, seed=7, model=POOL)
    context.result = trio.run(load.run, seconds)
    thread.join()


@when('every account is backlogged for {seconds:d} seconds')
def run_backlog(context, seconds):
    _apply_load(context, seconds, _build_loads(context))


@when('the largest account floods one router for {seconds:d} seconds')
def run_flood(context, seconds):
    router = context.deployment.routers[0].address
    _apply_load(
        context, seconds, _build_loads(context, a000={'open_requests': 120, 'routers': [router]})
    )


@when(
    'an account is idle for {idle_seconds:d} seconds and then backlogged for '
    '{backlog_seconds:d} seconds'
)
def run_idle_account(context, idle_seconds, backlog_seconds):
    context.gap_start = idle_seconds + _MESSAGE_EXCHANGE_SECONDS
    _apply_load(
        context,
        idle_seconds + backlog_seconds,
        _build_loads(context, a003={'start': idle_seconds}),
    )


@when(
    'a router is frozen from second {first:d} to second {last:d} of {seconds:d} seconds of backlog'
)
def run_frozen_router(context, first, last, seconds):
    router = context.deployment.routers[1]
    context.gap_start = last + 2 * _TOTALS_INTERVAL_SECONDS
    _apply_load(
        context, seconds, _build_loads(context), [(first, router.freeze), (last, router.thaw)]
    )


@when('a sidecar is killed and replaced at second {at:d} of {seconds:d} seconds of backlog')
def run_replaced_sidecar(context, at, seconds):
    def replace_sidecar():
        context.deployment.sidecars[0].kill()
        context.fleet.unregister_live('sidecar-0')
        context.fleet.start_sidecar(
            'sidecar-new',
            endpoint_url=context.deployment.engines[0],
            pool=POOL,
            kind='engine',
            slots=context.shape.slots,
        )

    _apply_load(context, seconds, _build_loads(context), [(at, replace_sidecar)])


@when('an endpoint joins at second {at:d} of {seconds:d} seconds of backlog')
def run_joining_endpoint(context, at, seconds):
    url = context.fleet.start_engines(
        'engines-new', 1, slots=context.shape.slots, step_milliseconds=_STEP_SECONDS * 1000
    )[0]
    context.joined = url
    context.deployment.engines.append(url)

    def start_joining_sidecar():
        context.fleet.start_sidecar(
            'sidecar-new', endpoint_url=url, pool=POOL, kind='engine', slots=context.shape.slots
        )

    _apply_load(context, seconds, _build_loads(context), [(at, start_joining_sidecar)])


def _compute_bound(context):
    rate = context.shape.engines * context.shape.slots / _STEP_SECONDS
    return bound(context.shape, _LARGEST_COST, report_seconds=_TOTALS_INTERVAL_SECONDS, rate=rate)


def _check_gap(context, start_at):
    gap = fairness_gap(context.result, context.deployment.weights, start=start_at)
    limit = _compute_bound(context)
    print('gap {0:.0f}, bound {1:.0f}'.format(gap, limit))
    assert gap <= limit, (gap, limit)


@then('the fairness gap is within the bound')
def check_gap(context):
    _check_gap(context, _WARM_UP_SECONDS)


@then('the fairness gap since the end of its idle time is within the bound')
def check_gap_after_idle(context):
    _check_gap(context, context.gap_start)


@then('the fairness gap since the router resumed is within the bound')
def check_gap_after_freeze(context):
    _check_gap(context, context.gap_start)


@then('the slots are as busy as one message exchange per request allows')
def check_utilisation(context):
    mean_cost = (_SMALLEST_COST + _LARGEST_COST // 3) / 2
    service = mean_cost * _STEP_SECONDS
    least = service / (service + _MESSAGE_EXCHANGE_SECONDS)
    slots = context.shape.engines * context.shape.slots
    used = utilisation(context.result, slots, start=_WARM_UP_SECONDS)
    print('utilisation {0:.3f}, least {1:.3f}'.format(used, least))
    assert used >= least, (used, least)


@then('the smallest account got at least half of its share')
def check_smallest_account(context):
    samples = [item for item in context.result.samples if item[0] >= _WARM_UP_SECONDS]
    first, last = samples[0][1], samples[-1][1]
    received = {name: last.get(name, 0) - first.get(name, 0) for name in account_names(4)}
    weights = context.deployment.weights
    share = sum(received.values()) * weights['a003'] / sum(weights.values())
    assert received['a003'] >= share / 2, (received, share)


@then('the endpoint that joined served requests')
def check_joined_endpoint(context):
    served = context.fleet.client.get(context.joined + '/served').json()['served']
    assert sum(served.values()) > 0


@given('an emulated engine of {slots:d} slots with steps of {milliseconds:d} ms')
def define_engine(context, slots, milliseconds):
    context.engine = Engine(
        slots, milliseconds / 1000, tokens_per_step=1, checks_fencing=True, cache_entries=1
    )


@when(
    'it runs {count:d} requests of {tokens:d} tokens, and is held up for {seconds:d} second'
    ' in between'
)
def run_held_up_engine(context, count, tokens, seconds):
    clock = MockClock(autojump_threshold=0)

    async def run():
        for number in range(count):
            context.engine.submit(Generation(str(number), 'n', tokens, 'm'))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.engine.run)
            await trio.sleep(0.505)
            clock.jump(seconds)
            # Long after both requests have ended.
            await trio.sleep(5)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=clock)


@then('its slots were busy for {seconds:d} seconds each')
def check_busy_slots(context, seconds):
    busy_seconds = context.engine.busy_slot_seconds / context.engine.slots
    assert abs(busy_seconds - seconds) < 0.02, busy_seconds
