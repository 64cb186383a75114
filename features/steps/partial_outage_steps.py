"""Steps for outages of the store that affect one of its tables, or end for one before the other."""

import attrs
import trio
from behave import given, then, when

from emulator.caller_exchange import KEY
from emulator.entry_fleet import configuration, open_fleet, route

_TABLES = ('op', 'servers')
_NEW_KEY = 'new-key'
_LENGTH_STEP_SECONDS = 0.5
_LENGTHS = 16
_APPLY_SECONDS = 2.0
#: Time for which a change is waited for before it counts as not known at all.
_LATE_SECONDS = 6.0
_CHECK_SECONDS = 0.02
#: Time until the calls for changes are pending.
_SETTLE_SECONDS = 1.5
_FIRST_AWAY_SECONDS = 2.0


@attrs.define(frozen=True)
class Outage:
    """How the store was away before it answers about one table again.

    Attributes:
        kind: As in `RowStore.respond`.
        first: Table that was away first; empty if both were from the same moment on.
    """

    kind: str
    first: str = ''


def _begin(fleet, address, kind, table):
    fleet.turn_away(address, kind, table=table)
    fleet.lose_answers(address, table=table)


def _list_known(instance):
    """Returns the tables whose change an instance knows."""
    state = instance._state
    is_leaving = any(live.endpoint.is_leaving for live in state.list_endpoints())
    return [
        name
        for name, known in zip(
            _TABLES, (state.configuration_version == 9, is_leaving), strict=True
        )
        if known
    ]


async def _interrupt(fleet, address, outage, seconds):
    """Has the store be away for a time, about one table earlier than about the other."""
    if outage.first:
        _begin(fleet, address, outage.kind, outage.first)
        await trio.sleep(_FIRST_AWAY_SECONDS)
    for table in _TABLES:
        if table != outage.first:
            _begin(fleet, address, outage.kind, table)
    await trio.sleep(seconds)


async def _measure(outage, table, seconds, known_after):
    """Measures how long after the end of an outage a change of a table is known."""
    async with open_fleet() as fleet:
        address = await fleet.start_store()
        await fleet.add_backend('e0', 'pool')
        fleet.store.put('op', 'config', configuration(5, [route('/', 'safe', 'pool')]))
        instance = await fleet.add_instance(address)
        await fleet.wait_ready()
        await trio.sleep(_SETTLE_SECONDS)
        await _interrupt(fleet, address, outage, seconds)
        _begin(fleet, address, '', table)
        accounts = [{'name': 'mothers', 'api_keys': [KEY, _NEW_KEY]}]
        changed = configuration(9, [route('/', 'safe', 'pool')], tenants=accounts)
        fleet.store.put('op', 'config', changed)
        fleet.change_endpoint('e0', state='draining')
        started = trio.current_time()
        while table not in _list_known(instance) and trio.current_time() < started + _LATE_SECONDS:
            await trio.sleep(_CHECK_SECONDS)
        known_after[seconds] = round(trio.current_time() - started, 2)


@given('the store was "{kind}" about both tables for 0.5 to 8 seconds, in steps of 0.5')
def set_both_away(context, kind):
    context.outage = Outage(kind)


@given(
    'the store was "{kind}" about "{first}" for 2 seconds, and then about "{second}" for 0.5 to 8 seconds'
)
def set_one_away_first(context, kind, first, second):
    context.outage = Outage(kind, first)


@when('it answers about "{table}" alone, and everything changes just then')
def measure_lengths(context, table):
    async def run():
        known_after = {}
        with trio.fail_after(40):
            async with trio.open_nursery() as nursery:
                for step in range(1, _LENGTHS + 1):
                    seconds = step * _LENGTH_STEP_SECONDS
                    nursery.start_soon(_measure, context.outage, table, seconds, known_after)
        return known_after

    context.known_after = trio.run(run)


@then('what "{table}" holds is in force within 2 seconds, whatever the length was')
def check_lengths(context, table):
    late = {
        length: known for length, known in context.known_after.items() if known > _APPLY_SECONDS
    }
    assert len(context.known_after) == _LENGTHS, context.known_after
    assert not late, dict(sorted(context.known_after.items()))
