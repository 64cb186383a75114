"""Times the calls by which a follower waits for changes of the store's tables.

Any response of the store states its newest version, so that one about any table shows whether the
others are current. The calls therefore end in turn, evenly spaced, and one that is overdue is
repeated on another connection, together with all other calls that wait.

A change that an instance has to learn from the store is known to it at most this long after it was
made, whichever call or connection was lost just before:

    EVIDENCE_SECONDS + OVERDUE_SECONDS + the store's response time

and REPEAT_SECONDS and a pause more if the repetition is lost as well. When a store that gave no
response returns, the next call is sent within REPEAT_SECONDS and that pause.
"""

from collections.abc import Iterable

#: Maximum wait of one call for a change.
WAIT_SECONDS = 2.6
#: Time between the ends of two calls about different tables.
EVIDENCE_SECONDS = WAIT_SECONDS / 2
#: Time after the end of its wait from which a call without a response is overdue.
OVERDUE_SECONDS = 0.3
#: Time that the repetition of an overdue call has until both have failed.
REPEAT_SECONDS = 0.8
#: Time that a call has to return changes which a response about another table shows to exist.
EVIDENCE_GRACE_SECONDS = 0.1


def choose_wait(now: float, other_ends: Iterable[float]) -> float:
    """Chooses how long the next call about a table waits for a change.

    Args:
        now: Time in seconds.
        other_ends: Times at which the waits of the pending calls about other tables end.

    Returns:
        Seconds; the longest wait that does not end near another one.
    """
    latest = now + WAIT_SECONDS
    last_end = max((end for end in other_ends if end > now), default=None)
    if last_end is None:
        return WAIT_SECONDS
    if last_end + EVIDENCE_SECONDS <= latest:
        return last_end + EVIDENCE_SECONDS - now
    return max(last_end - EVIDENCE_SECONDS - now, 0)
