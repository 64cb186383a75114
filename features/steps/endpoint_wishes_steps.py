"""Steps for endpoints that say that they are leaving, or request a backoff."""

import trio
from behave import then, when

from features.steps.entry_steps import _run_on_fleet, _send_calls, _wait_for_reports
from features.steps.store_copy_steps import _find_used_endpoint


def _find_live_endpoint(fleet, name, number=0):
    state = fleet.instances[number]._state
    return next(live for live in state._endpoints.values() if live.endpoint.identifier == name)


@when('the endpoint in use says in a response that it is leaving, which the store does not show')
def say_leaving(context):
    async def act(fleet):
        last = len(fleet.instances) - 1
        used = await _find_used_endpoint(fleet, last)
        # The other endpoint rejects requests, so that the one in use answers the next call.
        for name, backend in fleet.backends.items():
            backend.behaviour = 'answer and leave' if name == used else 'full'
        reply = await fleet.call('/a')
        for backend in fleet.backends.values():
            backend.behaviour = 'answer'
        await trio.sleep(0.5)
        replies = await _send_calls(fleet)
        await _wait_for_reports(fleet)
        return used, reply, replies, await _send_calls(fleet, number=last)

    _run_on_fleet(context, act)


@then('it gets no more requests, the other one answers, and callers do not see the header')
def check_leaving(context):
    used, reply, (statuses, runs), _ = context.result
    assert reply.status == 200 and reply.content.decode().endswith(used), reply
    assert 'server-leaving' not in reply.fields, reply
    assert set(statuses) == {200} and not runs[used], (used, runs)


@then('the other instance does not use it either')
def check_other_instance(context):
    used, _, _, (statuses, runs) = context.result
    assert set(statuses) == {200} and not runs[used], (used, runs)


@when('another endpoint at the address of one of them says that it is leaving')
def say_leaving_at_reused_address(context):
    async def act(fleet):
        used = await _find_used_endpoint(fleet)
        backend = fleet.backends[used]
        # Answers 421 with `Server-Leaving`, as another endpoint at this address does.
        backend.behaviour = 'misdirected and leaving'
        await fleet.call('/a')
        return _find_live_endpoint(fleet, used).endpoint.is_leaving, backend.turned_away

    _run_on_fleet(context, act)


@then('the one that had the address does not count as leaving')
def check_not_leaving(context):
    is_leaving, turned_away = context.result
    assert turned_away, turned_away
    assert not is_leaving


@when(
    'the endpoint in use rejects a request and requests a backoff of {seconds:g} s,'
    ' and callers go on'
)
def request_one_backoff(context, seconds):
    async def act(fleet):
        used = await _find_used_endpoint(fleet)
        backend = fleet.backends[used]
        backend.retry_after = str(seconds)
        backend.behaviour = 'full'
        statuses = [(await fleet.call('/a')).status]
        backend.behaviour = 'answer'
        backend.requests.clear()
        backoff_until = trio.current_time() + seconds
        while trio.current_time() < backoff_until - 0.05:
            statuses.append((await fleet.call('/a')).status)
        meanwhile = len(backend.requests)
        await trio.sleep(0.2)
        # With the other endpoint draining, the next call can only go to the one after its backoff.
        other = next(name for name in fleet.backends if name != used)
        fleet.change_endpoint(other, state='draining')
        await trio.sleep(0.3)
        statuses.append((await fleet.call('/a')).status)
        return statuses, meanwhile, len(backend.requests)

    _run_on_fleet(context, act)


@then('it gets no requests for 0.8 s and one after that, and all are answered')
def check_backoff_kept(context):
    statuses, meanwhile, after = context.result
    assert set(statuses) == {200}, statuses
    assert meanwhile == 0, meanwhile
    assert after == 1, after


@when('both endpoints reject requests and request backoffs of {seconds:g} s, and callers go on')
def request_all_backoffs(context, seconds):
    async def act(fleet):
        for backend in fleet.backends.values():
            backend.retry_after = str(seconds)
            backend.behaviour = 'full'
        first = await fleet.call('/a')
        turned_away = sum(backend.turned_away for backend in fleet.backends.values())
        started = trio.current_time()
        refused = await fleet.call('/a')
        refusal_seconds = trio.current_time() - started
        turned_away -= sum(backend.turned_away for backend in fleet.backends.values())
        return first, refused, refusal_seconds, turned_away

    _run_on_fleet(context, act)


@then(
    'requests are refused as not run within 50 ms,'
    ' with Retry-After set to the end of the first backoff'
)
def check_refused(context):
    first, refused, refusal_seconds, turned_away = context.result
    assert first.status == 503, first
    assert refused.status == 503, refused
    assert 1.2 < float(refused.fields['retry-after']) <= 1.5, refused
    assert refusal_seconds <= 0.05, refusal_seconds
    assert turned_away == 0, turned_away


@when('the endpoint in use rejects a request with Retry-After "{stated}"')
def request_stated_backoff(context, stated):
    async def act(fleet):
        used = await _find_used_endpoint(fleet)
        backend = fleet.backends[used]
        backend.retry_after = stated
        backend.behaviour = 'full'
        before = trio.current_time()
        await fleet.call('/a')
        return max(_find_live_endpoint(fleet, used).record.requested_backoff_until - before, 0)

    _run_on_fleet(context, act)


@then('its backoff lasts {seconds:g} s')
def check_backoff_length(context, seconds):
    assert seconds <= context.result <= seconds + 0.2, context.result


@when('an endpoint requests a backoff while a connection to it is being opened')
def request_backoff_during_connect(context):
    async def act(fleet):
        used = await _find_used_endpoint(fleet)
        live = _find_live_endpoint(fleet, used)
        original = live.pool.take

        async def take(identifier):
            live.record.record_requested_backoff(trio.current_time() + 2.0)
            return await original(identifier)

        live.pool.take = take
        fleet.backends[used].requests.clear()
        reply = await fleet.call('/a')
        return reply.status, len(fleet.backends[used].requests)

    _run_on_fleet(context, act)


@then('the request is answered by the other one')
def check_other_endpoint(context):
    assert context.result == (200, 0), context.result
