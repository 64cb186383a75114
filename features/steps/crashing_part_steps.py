"""Steps for parts of prompts that crash the endpoints which begin to answer them."""

import random

import trio
from behave import given, then, when

from emulator.caller_exchange import encode_call, exchange
from emulator.crashing_endpoint import start_crashing_endpoints
from emulator.entry_fleet import configuration, open_fleet, route

_BAD_PART = 'bad0'
_CONTACT_SECONDS = 3.0
_MAXIMUM_CRASHES = 5
_CALM_SECONDS = 3.0
_BAD_SECONDS = 12.0
_SOUND_INTERVAL_SECONDS = 0.03
_BAD_INTERVAL_SECONDS = 0.25
_DOWN_SECONDS = 1.5
_AT_ONCE_SECONDS = 0.5


@given(
    '{count:d} instances and {engines:d} engines that end whenever they begin on the part "bad"'
)
def set_fleet(context, count, engines):
    context.instances = count
    context.engines = engines
    context.down_seconds = _DOWN_SECONDS


@given('each engine starts again after {seconds:f} seconds')
def set_down_seconds(context, seconds):
    context.down_seconds = seconds


async def _start(context, fleet, nursery, kind):
    endpoints = await start_crashing_endpoints(
        fleet,
        nursery,
        context.engines,
        service='pool',
        bad_part=_BAD_PART,
        down_seconds=context.down_seconds,
    )
    changes = {'stream_resume': True} if kind == 'streaming' else {}
    routes = [route('/', kind, 'pool', session_affinity=True, **changes)]
    fleet.store.put('op', 'config', configuration(5, routes))
    address = await fleet.start_store()
    for _ in range(context.instances):
        await fleet.add_instance(address)
    for number in range(context.instances):
        await fleet.wait_ready(number)
    return endpoints


class _Callers:
    """Calls of one kind, with the times at which they were sent and their replies."""

    def __init__(self, fleet, instances, rng):
        self.calls = []
        self._fleet = fleet
        self._instances = instances
        self._rng = rng
        self._sent = 0

    async def run(self, nursery, interval, parts, until):
        while trio.current_time() < until:
            nursery.start_soon(self._call, parts)
            await trio.sleep(interval * self._rng.uniform(0.5, 1.5))

    async def _call(self, parts):
        self._sent += 1
        own = '{0:x}'.format(self._rng.getrandbits(48))
        prompt = ','.join('{0}:50'.format(part) for part in (*parts, own))
        raw = encode_call(
            '/a',
            content=own.encode(),
            more='X-Prompt-Prefix: {0}\r\nX-Token-Usage: 150,10'.format(prompt),
        )
        started = trio.current_time()
        settings = self._fleet.settings[self._sent % self._instances]
        reply = await exchange(settings.caller_address, raw)
        self.calls.append((started, trio.current_time() - started, reply))


@when(
    '"{kind}" requests with that part come among sound ones with the same account and first part'
)
def send_calls(context, kind):
    async def run():
        rng = random.Random(7)
        with trio.fail_after(60):
            async with open_fleet() as fleet, trio.open_nursery() as nursery:
                context.endpoints = await _start(context, fleet, nursery, kind)
                sound = _Callers(fleet, context.instances, rng)
                bad = _Callers(fleet, context.instances, rng)
                started = trio.current_time()
                until = started + _CALM_SECONDS + _BAD_SECONDS
                async with trio.open_nursery() as calling:
                    parts = ['aa00', 'aa01']
                    calling.start_soon(sound.run, calling, _SOUND_INTERVAL_SECONDS, parts, until)
                    await trio.sleep(_CALM_SECONDS)
                    parts = ['aa00', _BAD_PART]
                    calling.start_soon(bad.run, calling, _BAD_INTERVAL_SECONDS, parts, until)
                nursery.cancel_scope.cancel()
                return sound.calls, bad.calls, started

    context.sound, context.bad, context.started = trio.run(run)


def _find_fifth_crash(context):
    crashes = sorted(at for endpoint in context.endpoints for at in endpoint.crashes)
    return crashes[:_MAXIMUM_CRASHES][-1]


@then(
    'at most {most:d} of them reach engines later than {seconds:d} seconds after the fifth crash'
)
def check_arrivals(context, most, seconds):
    limit = _find_fifth_crash(context) + seconds
    late = [
        arrival
        for endpoint in context.endpoints
        for arrival in endpoint.arrivals
        if arrival.is_bad and arrival.at > limit
    ]
    crashes = sum(len(endpoint.crashes) for endpoint in context.endpoints)
    assert len(late) <= most, (len(late), crashes)


def _compute_served_part(calls, since, until):
    served = [
        reply.status == 200 and reply.is_whole for sent, _, reply in calls if since <= sent < until
    ]
    return sum(served) / len(served)


@then('sound requests are served at least half as often as before')
def check_sound(context):
    before = _compute_served_part(context.sound, context.started, context.started + _CALM_SECONDS)
    since = _find_fifth_crash(context) + 2 * _CONTACT_SECONDS
    later = _compute_served_part(context.sound, since, float('inf'))
    assert later >= before / 2, (before, later)


@then('the callers of the others are told at once that their requests crash endpoints')
def check_refusals(context):
    limit = _find_fifth_crash(context) + _CONTACT_SECONDS
    refused = [(seconds, reply) for sent, seconds, reply in context.bad if sent > limit]
    assert refused
    for seconds, reply in refused:
        assert b'prompt_quarantined' in reply.content, (reply.status, reply.content)
        assert seconds < _AT_ONCE_SECONDS, seconds
