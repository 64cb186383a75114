"""One event of a soak run: a fault, or a change that operators or endpoints make."""

import attrs


@attrs.define(frozen=True, kw_only=True)
class Event:
    """One fault, or one change that operators or endpoints make.

    Attributes:
        start_seconds: Time since the start of the fault phase.
        kind: Kind of the event; `faults` has a function for each.
        target: Index of the instance, the endpoint host or the service; -1 if the event affects the
            store.
        duration_seconds: How long the fault lasts; unused by kinds that end by themselves, such as
            `drain` and `term`.
        backup_age_seconds: Age of the backup that the store is restored from.
    """

    start_seconds: float
    kind: str
    target: int
    duration_seconds: float
    backup_age_seconds: float = 0.0
