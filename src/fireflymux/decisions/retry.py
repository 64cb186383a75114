"""Decides whether a request that has failed on one endpoint is sent to another."""

import enum
from collections.abc import Callable

import attrs

from .entry_configuration import Repeatability
from .send_record import SendRecord

#: Failed connections after which a request is given up.
_MAXIMUM_CONNECTION_FAILURES = 6
#: Time that must be left for another attempt to be worthwhile.
_MINIMUM_SECONDS_LEFT = 0.05


class Ending(enum.Enum):
    """How an attempt ended."""

    #: No connection was made: the endpoint has not received the request.
    not_sent = 'not_sent'
    #: The endpoint stated that it did not execute the request.
    rejected = 'rejected'
    #: The response is incomplete: the request may have run.
    broken = 'broken'
    #: The endpoint ran the request and responded with an error.
    failed = 'failed'


@attrs.define
class AttemptHistory(SendRecord):
    """Attempts of one request so far, a running one included.

    Each send goes to a different endpoint.

    Attributes:
        unsent: Number of attempts that ended without a connection.
    """

    unsent: int = 0


def may_retry(
    history: AttemptHistory,
    ending: Ending,
    *,
    repeatability: Repeatability,
    maximum_endpoints: int,
    seconds_left: float,
    try_spend: Callable[[], bool],
) -> bool:
    """Tells whether the request may be sent to another endpoint.

    Args:
        history: The attempts so far, the last one included.
        ending: How the last one ended.
        repeatability: Whether the request may run more than once.
        maximum_endpoints: Maximum number of endpoints that the request may be sent to. Endpoints
            that were tried are not chosen again, so that this bounds the number of sends, too.
        seconds_left: Time until its final response is due.
        try_spend: Takes one retry out of the allowance, if one is left; called only if all other
            conditions hold, and never after `not_sent`, as the next attempt then needs no
            allowance.

    Returns:
        Whether there may be another attempt.
    """
    if seconds_left < _MINIMUM_SECONDS_LEFT:
        return False
    if history.may_have_run and not repeatability.may_repeat:
        return False
    if ending is Ending.not_sent:
        return history.unsent < _MAXIMUM_CONNECTION_FAILURES
    return history.sends < maximum_endpoints and try_spend()
