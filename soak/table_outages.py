"""Outages of the store's tables that end one after the other, in steps from seed to seed."""

import attrs

from .event import Event

#: Tables that the instances follow, and outages of one of them alone, for all instances.
STORE_TABLES = ('op', 'servers')
TABLE_OUTAGE_KINDS = tuple(
    '{0}_{1}'.format(table, outage)
    for outage in ('busy', 'reset', 'silent')
    for table in STORE_TABLES
)
#: Lengths of the outage that ends first; seed after seed has the next one.
_STEP_SECONDS = 0.5
_LENGTHS = 10
#: Time for which the other table stays away when the one is back, and time until changes of both.
OTHER_AWAY_SECONDS = 3.0
_CHANGE_DELAY_SECONDS = 0.05


def choose_table_outages(seed: int, endpoints: int, *, back_at: float) -> list[Event]:
    """Returns outages of both tables, one of which ends earlier, and changes just after its end.

    The kinds and the lengths of 60 consecutive seeds go through all pairs of them.

    Args:
        seed: Seed of the plan.
        endpoints: Number of endpoints, one of which drains.
        back_at: Time at which the first outage ends, in seconds of the fault phase; at least the
            greatest length.
    """
    length, turn = seed % _LENGTHS + 1, seed // _LENGTHS
    seconds = length * _STEP_SECONDS
    kind = TABLE_OUTAGE_KINDS[(seed + turn) % len(TABLE_OUTAGE_KINDS)]
    table, _, outage = kind.partition('_')
    other = next(name for name in STORE_TABLES if name != table)
    first = Event(start_seconds=back_at - seconds, kind=kind, target=-1, duration_seconds=seconds)
    change = Event(
        start_seconds=back_at + _CHANGE_DELAY_SECONDS,
        kind='configure',
        target=-1,
        duration_seconds=0.0,
    )
    return [
        first,
        attrs.evolve(
            first,
            kind='{0}_{1}'.format(other, outage),
            duration_seconds=seconds + OTHER_AWAY_SECONDS,
        ),
        change,
        attrs.evolve(change, kind='drain', target=seed % endpoints),
    ]
