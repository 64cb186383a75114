"""Times the calls by which a follower waits for changes of the store's tables.

Any response of the store states its newest version, so that one about any table shows whether the
others are current. The calls therefore end in turn, evenly spaced, and one that is overdue is
repeated on another connection, together with all other calls that wait.

A change that an instance has to learn from the store is known to it at most this long after it was
made, whichever call or connection was lost just before:

    EVIDENCE_SECONDS + OVERDUE_SECONDS + the store's response time

and REPEAT_SECONDS more if the repetition is lost as well. A table that the store gives no response
about is lost. It is asked for every RETRY_SECONDS, whatever becomes of the others, so that this and
the store's response time are how late a change of it is known after the store responds about it
again. The calls about two lost tables alternate, and the first response about one of them has the
other asked for at once: where both return together, it is half of that and two response times.
"""

from collections.abc import Iterable

import attrs

#: Maximum wait of one call for a change.
WAIT_SECONDS = 2.6
#: Time between the ends of two calls about different tables.
EVIDENCE_SECONDS = WAIT_SECONDS / 2
#: Time after the end of its wait from which a call without a response is overdue.
OVERDUE_SECONDS = 0.3
#: Time that the repetition of an overdue call has until both have failed.
REPEAT_SECONDS = 0.8
#: Time between two calls about a table that the store gives no response about.
RETRY_SECONDS = 1.2
#: Calls about such a table that may wait for their responses at once.
_RETRY_CALLS = 3
#: Time that a call has to return changes which a response about another table shows to exist.
EVIDENCE_GRACE_SECONDS = 0.1


@attrs.define(frozen=True)
class RepeatPlan:
    """When a read is sent again while it gets no response; earlier calls go on beside it.

    Attributes:
        overdue_seconds: Time until the first repetition.
        repeat_seconds: Time from each repetition to the next one, and of the last one.
        repetitions: Number of repetitions.
    """

    overdue_seconds: float
    repeat_seconds: float
    repetitions: int

    @classmethod
    def from_wait(cls, wait_seconds: float) -> 'RepeatPlan':
        """Returns the plan of a call to a store that responded to the one before.

        Args:
            wait_seconds: How long the store may wait for a change before it responds.
        """
        return cls(wait_seconds + OVERDUE_SECONDS, REPEAT_SECONDS, repetitions=1)

    @classmethod
    def from_retry(cls, first_seconds: float) -> 'RepeatPlan':
        """Returns the plan of a call about a table that is lost, which does not wait.

        Args:
            first_seconds: Time until the first repetition, from `choose_retry`.
        """
        return cls(first_seconds, RETRY_SECONDS, repetitions=_RETRY_CALLS - 1)


def choose_retry(now: float, other_call_at: float | None) -> float:
    """Chooses when a lost table is asked for again, so that its calls alternate with another's.

    Args:
        now: Time of its present call, in seconds.
        other_call_at: Time of a call about the other lost table; the further ones follow every
            `RETRY_SECONDS`. None if no other table is lost.

    Returns:
        Seconds until its next call, between half of `RETRY_SECONDS` and all of it.
    """
    if other_call_at is None:
        return RETRY_SECONDS
    half = RETRY_SECONDS / 2
    since_other = (now - other_call_at) % RETRY_SECONDS
    seconds = (half - since_other) % RETRY_SECONDS
    # If that is soon, the other table's calls are moved instead.
    return seconds if seconds >= half else RETRY_SECONDS


def choose_wait(now: float, other_ends: Iterable[float]) -> float:
    """Chooses how long the next call about a table waits for a change.

    Args:
        now: Time in seconds.
        other_ends: Times at which the waits of the pending calls about other tables end.

    Returns:
        Seconds; the longest wait in which a call ends at least every `EVIDENCE_SECONDS`.
    """
    latest = now + WAIT_SECONDS
    last_end = max((end for end in other_ends if end > now), default=None)
    if last_end is None:
        # No other call shows meanwhile whether this one has missed a change.
        return EVIDENCE_SECONDS
    if last_end + EVIDENCE_SECONDS <= latest:
        return last_end + EVIDENCE_SECONDS - now
    return max(last_end - EVIDENCE_SECONDS - now, 0)
