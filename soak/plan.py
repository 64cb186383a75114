"""Generates the faults of one soak run from its seed, without running anything."""

import itertools
import random

import attrs

from .event import Event
from .table_outages import OTHER_AWAY_SECONDS, choose_table_outages

#: Length of the phase in which faults begin and end; it starts with the first requests.
FAULT_PHASE_SECONDS = 8.0
#: Length of the phase after that, in which the instances have to recover.
FAULT_FREE_SECONDS = 7.0
_BASE_INSTANCES = 3
_ENDPOINTS_PER_SERVICE = 3
#: Least and greatest number of faults, besides configuration changes and restores.
_EVENT_COUNT_RANGE = (6, 14)
#: Probability that a run restores the store from a backup.
_RESTORE_PROBABILITY = 0.6
#: Outage of the store before its restore.
RESTORE_OUTAGE_SECONDS = 0.2
#: Time from the restore until the lost rows are written again.
REWRITE_DELAY_SECONDS = 0.6
#: Range of the age of the restored backup.
_BACKUP_AGE_SECONDS = (0.5, 3.0)

#: Outages of the store, for all instances or for one.
_OUTAGE_KINDS = ('store_busy', 'store_reset', 'store_silent')
#: Kinds of events that affect one instance: signals, outages of the store for this instance, and
#: loss of the traffic between instances. A kind that is listed twice is drawn twice as often.
_SIGNAL_KINDS = ('pause', 'pause', 'kill', 'term', 'term', 'hup')
INSTANCE_KINDS = (*_SIGNAL_KINDS, *_OUTAGE_KINDS, 'peers_cut', 'peers_deaf')
#: Kinds of events that affect one endpoint. `silent_up`, `silent_down` and `silent` hold back
#: bytes to the endpoint, from it, or both; `grey` and `breaks` are modes of `FaultyEndpoint`;
#: `drain` is an announced stop.
_LINK_KINDS = ('delay', 'reset', 'silent_up', 'silent_down', 'silent')
ENDPOINT_KINDS = (*_LINK_KINDS, 'crash', 'grey', 'breaks', 'drain', 'drain')
#: Kinds of events that affect all endpoints of one service at once.
SERVICE_KINDS = ('faulty',)
#: Kinds of events that affect the store for all instances. After `forget_history` they must read
#: whole tables again, since the store no longer has the changes; `odd_rows` writes rows that
#: name no endpoint among those of the endpoints.
STORE_KINDS = (*_OUTAGE_KINDS, 'forget_history', 'odd_rows', 'odd_rows')
#: Kinds of which each plan has some in a row for one instance, their number, start, gaps and length.
_STORM_KINDS = ('hup', 'hup', 'term', 'term', 'pause', 'kill', 'configure', 'configure')
_STORM_COUNT = 5
_STORM_STARTS_SECONDS = (1.0, 4.0)
_STORM_GAP_SECONDS = (0.02, 0.5)
_STORM_DURATION_SECONDS = 0.3
_SERVICES = 2
#: Probability that an event is repeated, the number of repetitions, and the time between them.
_SERIES_PROBABILITY = 0.25
_SERIES_COUNT_RANGE = (1, 3)
_SERIES_GAP_SECONDS = (0.05, 0.8)
#: Events that each plan has, with their targets, and the range of their length: faulty answers of
#: the first service, whose streams may be resumed, and odd rows.
_ALWAYS_DRAWN = (('faulty', 0), ('odd_rows', -1))
_ALWAYS_DRAWN_SECONDS = (4.0, 6.0)
#: Length of each event of a plan that has some kinds only.
_THROUGHOUT_SECONDS = 2.0
#: Events that each plan has at any endpoint: it is cut off until TCP has ended its connections,
#: which is about when the time of its requests is over, or it floods some answers.
_CUT_SECONDS = (1.85, 2.04)
_CUT_COUNT = 2
_FLOOD_SECONDS = (0.5, 2.0)
#: With few retries their bound is reached, and with many most streams that broke are resumed.
_RETRY_CONSTANTS = (10, 1000, 1000)


@attrs.define(frozen=True, kw_only=True)
class Plan:
    """Everything about a soak run that its seed determines before it starts.

    Attributes:
        seed: Seed that the plan is generated from.
        instances: Number of entry instances.
        endpoints_per_service: Number of endpoints of each service.
        callers_per_instance: Number of callers for each instance.
        retry_constant: Retries that the settings allow beside a share of the requests.
        events: Faults and changes, ordered by start time.
    """

    seed: int
    instances: int
    endpoints_per_service: int
    callers_per_instance: int
    retry_constant: int = 10
    events: tuple[Event, ...]

    @classmethod
    def from_seed(cls, seed: int, scale: int = 1) -> 'Plan':
        """Generates a plan; the same arguments give the same plan.

        Args:
            seed: Seed of the random generator.
            scale: Factor for the number of instances and faults.

        Returns:
            The plan.
        """
        rng = random.Random(seed)
        instances = _BASE_INSTANCES * scale + rng.randint(0, 1)
        endpoints_per_service = _ENDPOINTS_PER_SERVICE + rng.randint(0, 1)
        events = [
            _draw_event(rng, instances, 2 * endpoints_per_service)
            for _ in range(rng.randint(*_EVENT_COUNT_RANGE) * scale)
        ]
        events.extend(
            Event(
                start_seconds=rng.uniform(0, FAULT_PHASE_SECONDS),
                kind='configure',
                target=-1,
                duration_seconds=0.0,
            )
            for _ in range(rng.randint(2, 5))
        )
        events.extend(_draw_long_event(rng, kind, target) for kind, target in _ALWAYS_DRAWN)
        events.extend([again for event in events for again in _draw_series(rng, event)])
        # Drawn late, so that the other events of a seed do not depend on the restore.
        if rng.random() < _RESTORE_PROBABILITY:
            events.append(_draw_restore(rng))
        events.extend(_draw_storm(rng, rng.randrange(instances)))
        events.append(_draw_long_event(rng, 'stutter', rng.randrange(_SERVICES)))
        # Of a generator of their own, so that the other events of a seed stay as they were.
        late_rng = random.Random('cuts and flood {0}'.format(seed))
        events.extend(_draw_cuts_and_flood(late_rng, 2 * endpoints_per_service))
        events.extend(
            choose_table_outages(
                seed, 2 * endpoints_per_service, back_at=FAULT_PHASE_SECONDS - OTHER_AWAY_SECONDS
            )
        )
        return cls(
            seed=seed,
            instances=instances,
            endpoints_per_service=endpoints_per_service,
            callers_per_instance=4 if scale == 1 else 1,
            retry_constant=rng.choice(_RETRY_CONSTANTS),
            events=tuple(sorted(events, key=lambda event: event.start_seconds)),
        )

    @classmethod
    def from_kinds(cls, seed: int, kinds: tuple[str, ...]) -> 'Plan':
        """Generates a plan that has faults of some kinds only, but these throughout.

        Args:
            seed: Seed of the random generator.
            kinds: Kinds of events; each begins once a second, at one target after the other.
        """
        plan = cls.from_seed(seed)
        targets = {kind: plan.instances for kind in INSTANCE_KINDS}
        targets |= {
            kind: 2 * plan.endpoints_per_service for kind in (*ENDPOINT_KINDS, 'cut', 'flood')
        }
        events = [
            Event(
                start_seconds=float(start),
                kind=kind,
                target=start % targets.get(kind, _SERVICES),
                duration_seconds=_THROUGHOUT_SECONDS,
            )
            for start in range(int(FAULT_PHASE_SECONDS - _THROUGHOUT_SECONDS) + 1)
            for kind in kinds
        ]
        return attrs.evolve(plan, retry_constant=max(_RETRY_CONSTANTS), events=tuple(events))


def _draw_event(rng: random.Random, instances: int, endpoints: int) -> Event:
    start_seconds = rng.uniform(0, FAULT_PHASE_SECONDS - 0.5)
    duration_seconds = min(
        rng.choice((0.3, 0.8, 1.5, 2.5)) * rng.uniform(0.5, 1.5),
        FAULT_PHASE_SECONDS - start_seconds,
    )
    kinds = rng.choice(
        (
            INSTANCE_KINDS,
            INSTANCE_KINDS,
            ENDPOINT_KINDS,
            ENDPOINT_KINDS,
            SERVICE_KINDS,
            STORE_KINDS,
        )
    )
    target = -1
    if kinds is INSTANCE_KINDS:
        target = rng.randrange(instances)
    elif kinds is ENDPOINT_KINDS:
        target = rng.randrange(endpoints)
    elif kinds is SERVICE_KINDS:
        target = rng.randrange(_SERVICES)
    return Event(
        start_seconds=start_seconds,
        kind=rng.choice(kinds),
        target=target,
        duration_seconds=duration_seconds,
    )


def _draw_long_event(rng: random.Random, kind: str, target: int) -> Event:
    duration_seconds = rng.uniform(*_ALWAYS_DRAWN_SECONDS)
    return Event(
        start_seconds=rng.uniform(0, FAULT_PHASE_SECONDS - duration_seconds),
        kind=kind,
        target=target,
        duration_seconds=duration_seconds,
    )


def _draw_storm(rng: random.Random, target: int) -> list[Event]:
    """Draws signals, restarts and configurations that follow each other closely and overlap."""
    start_seconds = rng.uniform(*_STORM_STARTS_SECONDS)
    events = []
    for kind in rng.sample(_STORM_KINDS, _STORM_COUNT):
        start_seconds += rng.uniform(*_STORM_GAP_SECONDS)
        events.append(
            Event(
                start_seconds=start_seconds,
                kind=kind,
                target=target,
                duration_seconds=_STORM_DURATION_SECONDS,
            )
        )
    return events


def _draw_series(rng: random.Random, event: Event) -> list[Event]:
    """Draws the repetitions of an event, which may overlap it and each other."""
    repetitions: list[Event] = []
    if rng.random() >= _SERIES_PROBABILITY:
        return repetitions
    start_seconds = event.start_seconds
    for _ in range(rng.randint(*_SERIES_COUNT_RANGE)):
        start_seconds += rng.uniform(*_SERIES_GAP_SECONDS)
        if start_seconds > FAULT_PHASE_SECONDS - 0.5:
            break
        left = FAULT_PHASE_SECONDS - start_seconds
        repetitions.append(
            attrs.evolve(
                event,
                start_seconds=start_seconds,
                duration_seconds=min(event.duration_seconds, left),
            )
        )
    return repetitions


def _draw_cuts_and_flood(rng: random.Random, endpoints: int) -> list[Event]:
    kinds = [*itertools.repeat(('cut', _CUT_SECONDS), _CUT_COUNT), ('flood', _FLOOD_SECONDS)]
    return [
        Event(
            start_seconds=rng.uniform(0, FAULT_PHASE_SECONDS - _CUT_SECONDS[1]),
            kind=kind,
            target=rng.randrange(endpoints),
            duration_seconds=rng.uniform(*seconds),
        )
        for kind, seconds in kinds
    ]


def _draw_restore(rng: random.Random) -> Event:
    """Draws a restore of the store from a backup.

    It starts late enough for a backup of any age in the range to exist.
    """
    return Event(
        start_seconds=rng.uniform(_BACKUP_AGE_SECONDS[1], FAULT_PHASE_SECONDS - 1.5),
        kind='store_back',
        target=-1,
        backup_age_seconds=rng.uniform(*_BACKUP_AGE_SECONDS),
        duration_seconds=RESTORE_OUTAGE_SECONDS + REWRITE_DELAY_SECONDS,
    )
