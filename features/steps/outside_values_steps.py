"""Steps for values from outside that are out of range, too long or of another shape."""

import re

import trio
from behave import given, then, when

from emulator.entry_fleet import encode_call, exchange, route
from features.steps.entry_steps import _put_configuration, _run_on_fleet, _start_instances

_ENGINE = {'batch_slots': 4, 'kv_capacity': 100000}


def _expand(text):
    """Replaces each `C x N` in a text by N times the character C."""
    return re.sub(r'(.) x (\d+)', lambda found: found[1] * int(found[2]), text)


@given('an engine route with one endpoint and two instances')
def engine_route(context):
    async def build(fleet):
        await fleet.add_backend('e0', 'pool')
        services = [{'name': 'pool', 'max_connections': 50, 'engine': _ENGINE}]
        _put_configuration(fleet, 5, [route('/', 'safe', 'pool')], services=services)
        await _start_instances(fleet, 2)

    context.build = build


@when('a caller sends the header field "{name}" with the value "{value}"')
def send_header(context, name, value):
    async def act(fleet):
        line = '{0}: {1}'.format(name, _expand(value)).encode()
        raw = encode_call('/', more='X-Own: 1')
        # The field takes the place of the same one of a usual request.
        raw = re.sub(rb'\r\n%b: [^\r]*' % name.encode(), b'', raw)
        first = await exchange(fleet.settings[0].caller_address, raw.replace(b'X-Own: 1', line, 1))
        await trio.sleep(0.6)
        later = [await fleet.call('/', number) for number in (0, 1)]
        heard = [instance._peers.count_heard() for instance in fleet.instances]
        return [first, *later], heard

    _run_on_fleet(context, act)


@then('it is answered 200, and so are later requests at both instances, which hear each other')
def check_answered(context):
    replies, heard = context.result
    assert [reply.status for reply in replies] == [200, 200, 200], replies
    assert heard == [1, 1], heard


@when('the endpoints answer with the header field "{name}" and the value "{value}"')
def answer_with_header(context, name, value):
    async def act(fleet):
        field = (name.encode(), _expand(value).encode())
        for backend in fleet.backends.values():
            backend.extra_fields = [field]
        replies = [await fleet.call('/') for _ in range(4)]
        await trio.sleep(0.5)
        replies.append(await fleet.call('/'))
        now = trio.current_time()
        (instance,) = fleet.instances
        return replies, [live.is_warming(now) for live in instance._state.list_endpoints()]

    _run_on_fleet(context, act)


@then('all answers reach their callers, and the endpoints are not taken to be warming up')
def check_all_reached(context):
    replies, warming = context.result
    assert [reply.status for reply in replies] == [200] * 5, replies
    assert warming == [False, False], warming
