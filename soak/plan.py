"""Draws the faults of one soak from its seed, without running anything."""

import random

import attrs

#: Time from the first request to the last fault's end, in seconds.
FAULT_PHASE_SECONDS = 8.0
#: Time without faults at the end, in which everything has to recover, in seconds.
FAULT_FREE_SECONDS = 7.0
_BASE_INSTANCES = 3
_ENDPOINTS_PER_SERVICE = 3
_EVENT_COUNT_RANGE = (6, 14)
#: Part of the soaks in which the store comes back from a copy.
_RESTORE_PROBABILITY = 0.6
#: Time that the store is away before it comes back, and until all is written again, in seconds.
RESTORE_OUTAGE_SECONDS = 0.2
REWRITE_DELAY_SECONDS = 0.6
#: Age of that copy in seconds.
_BACKUP_AGE_SECONDS = (0.5, 3.0)

#: Kinds of faults with what they happen to.
INSTANCE_KINDS = (
    'pause',
    'pause',
    'kill',
    'term',
    'term',
    'hup',
    'store_busy',
    'store_reset',
    'store_silent',
    'peers_cut',
    'peers_deaf',
)
ENDPOINT_KINDS = (
    'delay',
    'reset',
    'silent_up',
    'silent_down',
    'silent',
    'crash',
    'grey',
    'breaks',
    'drain',
    'drain',
)
STORE_KINDS = ('store_busy', 'store_reset', 'store_silent', 'forget_history')


@attrs.define(frozen=True, kw_only=True)
class Event:
    """One fault or change.

    Attributes:
        at: Seconds after the first request.
        kind: What happens.
        target: Number of the instance or of the endpoint; -1 for all or none.
        seconds: How long it lasts.
        copy_seconds: Age of the copy that the store comes back from.
    """

    start_seconds: float
    kind: str
    target: int
    duration_seconds: float
    backup_age_seconds: float = 0.0


@attrs.define(frozen=True, kw_only=True)
class Plan:
    """One soak.

    Attributes:
        seed: Where it comes from.
        instances: Number of entry instances.
        endpoints_per_service: Number of endpoints of each service.
        callers_per_instance: Number of callers of each instance.
        events: Faults and changes in order of time.
    """

    seed: int
    instances: int
    endpoints_per_service: int
    callers_per_instance: int
    events: tuple[Event, ...]

    @classmethod
    def from_seed(cls, seed: int, scale: int = 1) -> 'Plan':
        """Draws a plan.

        Args:
            seed: The seed.
            scale: How many times the usual instances.

        Returns:
            The plan; the same for the same arguments.
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
        # Drawn last, so that earlier seeds keep their other faults.
        if rng.random() < _RESTORE_PROBABILITY:
            events.append(_draw_restore(rng))
        return cls(
            seed=seed,
            instances=instances,
            endpoints_per_service=endpoints_per_service,
            callers_per_instance=4 if scale == 1 else 1,
            events=tuple(sorted(events, key=lambda event: event.start_seconds)),
        )


def _draw_event(rng: random.Random, instances: int, endpoints: int) -> Event:
    start_seconds = rng.uniform(0, FAULT_PHASE_SECONDS - 0.5)
    duration_seconds = min(
        rng.choice((0.3, 0.8, 1.5, 2.5)) * rng.uniform(0.5, 1.5),
        FAULT_PHASE_SECONDS - start_seconds,
    )
    kinds = rng.choice(
        (INSTANCE_KINDS, INSTANCE_KINDS, ENDPOINT_KINDS, ENDPOINT_KINDS, STORE_KINDS)
    )
    target = -1
    if kinds is INSTANCE_KINDS:
        target = rng.randrange(instances)
    elif kinds is ENDPOINT_KINDS:
        target = rng.randrange(endpoints)
    return Event(
        start_seconds=start_seconds,
        kind=rng.choice(kinds),
        target=target,
        duration_seconds=duration_seconds,
    )


def _draw_restore(rng: random.Random) -> Event:
    """Draws a moment at which the store comes back from a copy."""
    return Event(
        start_seconds=rng.uniform(_BACKUP_AGE_SECONDS[1], FAULT_PHASE_SECONDS - 1.5),
        kind='store_back',
        target=-1,
        backup_age_seconds=rng.uniform(*_BACKUP_AGE_SECONDS),
        duration_seconds=RESTORE_OUTAGE_SECONDS + REWRITE_DELAY_SECONDS,
    )
