"""Steps for the entry role: the fleet of a scenario, calls to it, and their outcomes.

The Given step of a scenario sets `context.build`, which starts stores, endpoints and instances.
The When step runs it together with its own actions in one event loop, and the Then steps check
`context.result`. Steps on one subject have modules of their own, `entry_*_steps`.
"""

import trio
from behave import given, then, when

from emulator.entry_fleet import configuration, open_fleet, route

_REPORT_INTERVAL_SECONDS = 0.02
#: Report intervals without requests after which none is on its way in a report any more.
_SETTLED_INTERVALS = 5


def _run_on_fleet(context, act):
    """Opens and builds a fleet, and sets `context.result` to what `act` returns for it."""

    async def run():
        with trio.fail_after(20):
            async with open_fleet() as fleet:
                await context.build(fleet)
                context.entry_fleet = fleet
                context.result = await act(fleet)

    trio.run(run)


def _put_configuration(fleet, version, routes, **changes):
    fleet.store.put('op', 'config', configuration(version, routes, **changes))


async def _start_instances(fleet, instances=1):
    address = await fleet.start_store()
    for _ in range(instances):
        await fleet.add_instance(address)
    for number in range(instances):
        await fleet.wait_ready(number)


@given('routes "/" to "general" and "/orders/" to "orders"')
def two_routes(context):
    async def build(fleet):
        await fleet.add_backend('g', 'general')
        await fleet.add_backend('o', 'orders')
        _put_configuration(
            fleet, 5, [route('/', 'unsafe', 'general'), route('/orders/', 'unsafe', 'orders')]
        )
        await _start_instances(fleet)

    context.build = build


def _set_up_one_route(context, kind, behaviours, **changes):
    async def build(fleet):
        for number, behaviour in enumerate(behaviours):
            await fleet.add_backend('e{0}'.format(number), 'pool', behaviour)
        _put_configuration(fleet, 5, [route('/', kind, 'pool', **changes)])
        await _start_instances(fleet)

    context.build = build


@given('a "{kind}" route whose only endpoint has behaviour "{behaviour}"')
def only_endpoint(context, kind, behaviour):
    _set_up_one_route(context, kind, [behaviour], timeout_ms=600)


@given(
    'a "{kind}" route with a timeout of {milliseconds:d} ms'
    ' whose only endpoint has behaviour "{behaviour}"'
)
def only_endpoint_timed(context, kind, milliseconds, behaviour):
    _set_up_one_route(context, kind, [behaviour], timeout_ms=milliseconds)


@given('a "{kind}" route with one endpoint of behaviour "{behaviour}" and one that answers')
def faulty_and_sound_endpoint(context, kind, behaviour):
    _set_up_one_route(context, kind, [behaviour, 'answer'])


@given('a "{kind}" route with {count:d} endpoints of behaviour "{behaviour}"')
def equal_endpoints(context, kind, count, behaviour):
    _set_up_one_route(context, kind, [behaviour] * count)


@given('a "safe" route with two endpoints that answer')
def two_endpoints(context):
    _set_up_one_route(context, 'safe', ['answer', 'answer'])


@when('a caller sends a request')
def send_one(context):
    async def act(fleet):
        started = trio.current_time()
        reply = await fleet.call('/a')
        context.seconds = trio.current_time() - started
        context.readiness = await fleet.ask_readiness()
        return reply

    _run_on_fleet(context, act)


@when('a caller sends {count:d} requests one after the other')
@when('a caller reads {count:d} streams one after the other')
def send_many(context, count):
    async def act(fleet):
        return [await fleet.call('/a', attempt='a{0}'.format(number)) for number in range(count)]

    _run_on_fleet(context, act)


@when('the same request is sent {count:d} times')
def send_same(context, count):
    async def act(fleet):
        for _ in range(count):
            await fleet.call('/a', content=b'the same')
        return sum(len(backend.requests) for backend in fleet.backends.values())

    _run_on_fleet(context, act)


async def _send_calls(fleet, count=10, number=0):
    """Sends calls one by one to the instance of a number.

    Returns the statuses of the calls, and by endpoint the number of requests that it ran.
    """
    for backend in fleet.backends.values():
        backend.requests.clear()
    replies = [await fleet.call('/a', number=number) for _ in range(count)]
    runs = {name: len(backend.requests) for name, backend in fleet.backends.items()}
    return [reply.status for reply in replies], runs


def _counts_requests(fleet):
    """Tells whether an instance counts requests on an endpoint, its own or reported ones."""
    for instance in fleet.instances:
        state = instance._state
        for live in state._endpoints.values():
            if state.loads.total(live.number).running:
                return True
    return False


async def _wait_for_reports(fleet):
    """Waits until no instance has counted requests for several report intervals in a row."""
    intervals = 0
    while intervals < _SETTLED_INTERVALS:
        await trio.sleep(_REPORT_INTERVAL_SECONDS)
        intervals = 0 if _counts_requests(fleet) else intervals + 1


def _count_runs(context):
    return sum(len(backend.requests) for backend in context.entry_fleet.backends.values())


@then('it is answered {status:d} and no endpoint ran it')
def check_not_run(context, status):
    assert context.result.status == status, context.result
    assert not _count_runs(context)


@then('it is answered {status:d} and the endpoint ran it {runs:d} times')
def check_outcome(context, status, runs):
    reply = context.result
    assert reply.status == status and reply.is_whole, reply
    assert _count_runs(context) == runs, _count_runs(context)
    if status == 503:
        assert float(reply.fields['retry-after']) > 0, reply
    if status in {502, 504}:
        assert 'x-server-signature' not in reply.fields, reply
    if status == 200:
        assert reply.content == b'answer of e0', reply


@then('each gets 200 with its own complete response')
def check_all_complete(context):
    for number, reply in enumerate(context.result):
        assert reply.status == 200 and reply.is_whole, reply
        assert reply.fields['x-attempt-id'] == 'a{0}'.format(number), reply
        assert reply.content.startswith(b'answer of e'), reply


@then('it is answered {status:d} after {least:d} to {most:d} ms')
def check_time(context, status, least, most):
    assert context.result.status == status, context.result
    assert least <= context.seconds * 1000 <= most, context.seconds


@then('endpoints ran it {most:d} times at most')
def check_crashes(context, most):
    assert 2 <= context.result <= most, context.result


@when('the same request breaks off {times:d} times and is answered after each time')
def break_and_answer(context, times):
    async def act(fleet):
        statuses = []
        for _ in range(times):
            for behaviour in ('break off', 'answer'):
                fleet.backends['e0'].behaviour = behaviour
                statuses.append((await fleet.call('/a', content=b'the same')).status)
        return statuses, await fleet.call('/a', content=b'the same')

    _run_on_fleet(context, act)


@then('it is answered once more')
def check_answered_again(context):
    statuses, last = context.result
    assert last.status == 200, (statuses, last)


@when('a caller with a deadline of {milliseconds:d} ms sends a request')
def send_with_deadline(context, milliseconds):
    async def act(fleet):
        started = trio.current_time()
        reply = await fleet.call('/a', deadline_ms=milliseconds)
        context.seconds = trio.current_time() - started
        return reply

    _run_on_fleet(context, act)
