"""Steps for endpoints that are warming up."""

import random

import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.entry_fleet import route
from features.steps.endpoint_wishes_steps import _find_live_endpoint
from features.steps.entry_steps import _put_configuration, _run_on_fleet
from fireflymux.decisions import warmup
from fireflymux.decisions.warmup import RequestPacer, WarmupBound

_DOMAIN = 'b'
_COLD_ENDPOINTS = ('cold-1', 'cold-2')
#: Requests in any second that the endpoints of these scenarios may get: 4 x 1.5 + 2.
_BOUND = 8
#: Time for which endpoints warm up, longer than a scenario lasts: the bound holds in all of it.
_WARMUP_SECONDS = 30
_SETTINGS = {'warmup_overrun': 1.5, 'warmup_tolerance': 2}


def _largest_second(times):
    """Returns the largest number of times within one second."""
    ordered = sorted(times)
    return max(
        (sum(start <= time < start + 1 for time in ordered) for start in ordered), default=0
    )


class _Sender:
    """One instance that sends a request whenever its pacer allows."""

    def __init__(self, name, known, bound):
        self._share = warmup.divide_bound(bound, endpoint=7, name=name, others=known)
        self._pacer = RequestPacer()
        self._connecting = []

    def offer(self, now, connect_seconds):
        if self._pacer.may_place(self._share, now):
            self._pacer.record_placed(now)
            self._connecting.append(now + connect_seconds)

    def send(self, now):
        """Sends what is connected by now; returns when it was sent."""
        due = sorted(time for time in self._connecting if time <= now)
        self._connecting = [time for time in self._connecting if time > now]
        sent = []
        for time in due:
            if self._pacer.may_send(self._share, time):
                self._pacer.record_sent(time)
                sent.append(time)
        return sent


def _run_senders(senders, steps, rng):
    """Offers each sender a request in each step of 20 ms; returns when requests were sent."""
    sent = []
    for step in range(steps):
        now = step * 0.02
        for sender in senders:
            sender.offer(now, rng.choice((0, 0, 0.001, 0.05, 0.4)))
            sent.extend(sender.send(now))
    return sent


@when('up to 40 instances with different beliefs send requests to an endpoint that is warming up')
def send_with_beliefs(context):
    violations = []

    @hypothesis_settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @generate(
        instances=strategies.integers(1, 40),
        extra=strategies.lists(strategies.integers(0, 5), min_size=40, max_size=40),
        rate=strategies.floats(0.5, 40),
        tolerance=strategies.integers(0, 8),
        seed=strategies.integers(0, 1000),
    )
    def check(instances, extra, rate, tolerance, seed):
        bound = WarmupBound.from_rates(
            seconds=3, per_second=rate, overrun=1.5, tolerance=tolerance
        )
        running = ['entry-{0}'.format(number) for number in range(instances)]
        # Each knows those that run; some also know instances that have ended since.
        senders = [
            _Sender(name, [*running, *map('gone-{0}'.format, range(extra[number]))], bound)
            for number, name in enumerate(running)
        ]
        largest = _largest_second(_run_senders(senders, 120, random.Random(seed)))
        if largest > rate * 1.5 + tolerance:
            violations.append((instances, rate, tolerance, largest))

    check()
    context.result = violations


@then('it gets no more requests than its bound allows in any second')
def check_bound(context):
    assert not context.result, context.result[:3]


@when('12 instances with steady demand send requests to an endpoint that bears 18 a second')
def send_steadily(context):
    bound = WarmupBound.from_rates(seconds=3, per_second=18, overrun=1.5, tolerance=5)
    names = ['entry-{0}'.format(number) for number in range(12)]
    senders = [_Sender(name, names, bound) for name in names]
    context.result = _run_senders(senders, 150, random.Random(1))


@then('it gets at least 16 a second, and never more than 32')
def check_use(context):
    sent = context.result
    assert len(sent) >= 3 * 16, len(sent)
    assert _largest_second(sent) <= 32, _largest_second(sent)


def _build_fleet(**service):
    async def build(fleet):
        await fleet.add_backend('warm', 'pool', batch_slots=200)
        for name in _COLD_ENDPOINTS:
            await fleet.add_backend(name, 'pool', zone=_DOMAIN, batch_slots=200)
        _put_configuration(
            fleet,
            5,
            [route('/', 'safe', 'pool')],
            services=[{'name': 'pool', 'max_connections': 500} | service],
        )
        address = await fleet.start_store()
        # Both instances prefer the endpoints of their own failure domain.
        for _ in range(2):
            await fleet.add_instance(address, failure_domain=_DOMAIN, **_SETTINGS)
        for number in range(2):
            await fleet.wait_ready(number)

    return build


@given('two instances and a failure domain of two endpoints beside one that answers')
def cold_domain(context):
    context.build = _build_fleet(warmup_s=_WARMUP_SECONDS, warmup_per_s=4.0)


@given('two instances and endpoints that state no rate for warming up')
def no_rate(context):
    context.build = _build_fleet(warmup_s=_WARMUP_SECONDS, warmup_per_s=0.0)


async def _send_load(fleet, seconds):
    """Sends 60 calls a second to each instance; returns the statuses."""
    statuses = []

    async def call(number):
        statuses.append((await fleet.call('/a', number=number)).status)

    async with trio.open_nursery() as nursery:
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            for number in range(2):
                nursery.start_soon(call, number)
            await trio.sleep(1 / 60)
    return statuses


def _record_sends(fleet, name):
    """Returns a list that gets the time of each request that any instance sends to an endpoint.

    Arrivals would not do: a process that is held up reads requests of several seconds at once.
    """
    times = []
    for number in range(2):
        pacer = _find_live_endpoint(fleet, name, number).pacer
        pacer.record_sent = _record_before(times, pacer.record_sent)
    return times


def _record_before(times, record_sent):
    def record(now):
        times.append(now)
        record_sent(now)

    return record


async def _wait_until_warming(fleet, names):
    """Waits until both instances know that some endpoints warm up."""
    for name in names:
        for number in range(2):
            while not _find_live_endpoint(fleet, name, number).is_warming(trio.current_time()):
                await trio.sleep(0.02)


async def _load_and_measure(fleet, names):
    """Sends load; returns the statuses, and by endpoint when requests were sent and how many came."""
    sends = {name: _record_sends(fleet, name) for name in names}
    for name in names:
        fleet.backends[name].requests.clear()
    statuses = await _send_load(fleet, 2.2)
    arrived = {name: len(fleet.backends[name].requests) for name in names}
    return statuses, sends, arrived


@when('the endpoints of the failure domain start again under load and have to warm up')
def return_cold(context):
    async def act(fleet):
        for name in _COLD_ENDPOINTS:
            fleet.change_endpoint(name, born=1800000000000, warmup_left_ms=_WARMUP_SECONDS * 1000)
        await _wait_until_warming(fleet, _COLD_ENDPOINTS)
        return await _load_and_measure(fleet, _COLD_ENDPOINTS)

    _run_on_fleet(context, act)


@when('an endpoint of the failure domain says in a response that it is warming up, under load')
def say_warming(context):
    async def act(fleet):
        name = _COLD_ENDPOINTS[0]
        fleet.change_endpoint(_COLD_ENDPOINTS[1], state='draining')
        await trio.sleep(0.3)
        fleet.backends[name].behaviour = 'answer and warm up'
        while not fleet.backends[name].requests:
            await fleet.call('/a', number=1)
        fleet.backends[name].behaviour = 'answer'
        await _wait_until_warming(fleet, [name])
        return await _load_and_measure(fleet, [name])

    _run_on_fleet(context, act)


@then('each of them gets some requests, never more than 8 in a second, and all calls are answered')
@then('it gets some requests, never more than 8 in a second, and all calls are answered')
def check_cold(context):
    statuses, sends, arrived = context.result
    assert set(statuses) == {200}, {status: statuses.count(status) for status in set(statuses)}
    for name, times in sends.items():
        assert len(times) == arrived[name], (name, times, arrived)
        assert len(times) >= 4, (name, times)
        assert _largest_second(times) <= _BOUND, (name, times)


@then('they get more than 8 requests in a second')
def check_unlimited(context):
    _, sends, _ = context.result
    largest = {name: _largest_second(times) for name, times in sends.items()}
    assert max(largest.values()) > _BOUND, largest
