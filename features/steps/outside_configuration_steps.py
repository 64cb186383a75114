"""Steps for configurations with members of another shape or out of range."""

import orjson
import trio
from behave import then, when

from emulator.entry_fleet import configuration, route
from features.steps.entry_steps import _put_configuration, _run_on_fleet
from features.steps.outside_values_steps import _expand


def _two_routes(**changes):
    return [route('/', 'unsafe', 'general'), route('/orders/', 'unsafe', 'orders') | changes]


@when('configurations come whose route "/orders/" has')
def configure_odd_routes(context):
    async def act(fleet):
        replies = []
        for version, row in enumerate(context.table, 6):
            raw = configuration(version, _two_routes(**{row['member']: '(odd)'}))
            await _put_expanded(fleet, raw, row['value'])
            assert fleet.instances[0]._state.configuration_version == version
            replies.append([(await fleet.call(path)).status for path in ('/a', '/orders/a')])
        return replies

    _run_on_fleet(context, act)


async def _put_expanded(fleet, raw, value):
    """Writes a configuration in which a value takes the place of `(odd)`."""
    content = orjson.dumps(raw).replace(b'"(odd)"', _expand(value).encode())
    fleet.store.put('op', 'config', content)
    await trio.sleep(0.2)


@then(
    'requests for "/" are served,'
    ' and those for "/orders/" are refused with 503 and reach no endpoint'
)
def check_odd_routes(context):
    assert all(statuses == [200, 503] for statuses in context.result), context.result
    assert not context.entry_fleet.backends['o'].requests
    assert len(context.entry_fleet.backends['g'].requests) == len(context.result)


@when('a configuration comes with odd accounts and services beside the others')
def configure_odd_accounts(context):
    async def act(fleet):
        tenants = [
            {'name': 'sound', 'api_keys': ['key-0'], 'priority': 1},
            {'name': 'a\r\nX-Own: b', 'api_keys': ['key-1']},
            {'name': 5, 'api_keys': ['key-2']},
            {'name': 'text', 'api_keys': 'k'},
            {'name': 'priority', 'api_keys': ['key-3'], 'priority': 2**64 - 1},
            {'name': 'regions', 'api_keys': ['key-4'], 'allowed_regions': [{}]},
            {'api_keys': ['key-5']},
            7,
            None,
        ]
        services = [
            {'name': 'orders', 'engine': {'batch_slots': 0, 'kv_capacity': 5}},
            {'name': 'orders', 'max_connections': -1e300},
            {'name': ['orders']},
            {'name': 'general', 'warmup_s': 1e300, 'warmup_per_s': 1},
            5,
        ]
        _put_configuration(fleet, 6, _two_routes(), tenants=tenants, services=services)
        await trio.sleep(0.3)
        assert fleet.instances[0]._state.configuration_version == 6
        keys = ('key-0', 'key-1', 'key-2', 'k', 'key-3', 'key-4', 'key-5')
        statuses = [(await fleet.call('/a', key=key)).status for key in keys]
        return statuses, (await fleet.call('/orders/a', key='key-0')).status

    _run_on_fleet(context, act)


@then('the key of the sound account is served on both routes, and those of the odd ones get 401')
def check_odd_accounts(context):
    assert context.result == ([200, *[401] * 6], 200), context.result


@when('configurations come with these members, and a sound one after each')
def configure_unusable(context):
    async def act(fleet):
        state = fleet.instances[0]._state
        known = []
        for number, row in enumerate(context.table):
            version = 6 + 2 * number
            raw = configuration(version, _two_routes()) | {row['member']: '(odd)'}
            await _put_expanded(fleet, '(odd)' if row['member'] == 'all' else raw, row['value'])
            before = state.configuration_version - version, (await fleet.call('/orders/a')).status
            _put_configuration(fleet, version + 1, _two_routes())
            await trio.sleep(0.2)
            known.append((before, state.configuration_version - version))
        return known

    _run_on_fleet(context, act)


@then('each time the version before stays in force until the sound one')
def check_unusable(context):
    assert all(known == ((-1, 200), 1) for known in context.result), context.result
