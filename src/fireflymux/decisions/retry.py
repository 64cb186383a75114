"""Decides whether a request without a good answer is tried once more."""

import enum
from collections.abc import Callable

import attrs

from .routes import Repeatability

#: Connections that endpoints may refuse to one request before it is given up.
_MAXIMUM_CONNECTION_FAILURES = 6
#: Least time that a repeat is worth, in seconds.
_MINIMUM_SECONDS_LEFT = 0.05


class Ending(enum.Enum):
    """How an attempt ended."""

    #: No connection: the endpoint knows nothing of the request.
    not_sent = 'not_sent'
    #: The endpoint says that it did not run the request.
    rejected = 'rejected'
    #: No whole answer: the request can have run.
    broken = 'broken'
    #: The endpoint ran the request and failed it.
    failed = 'failed'


@attrs.define
class AttemptHistory:
    """What became of the attempts of one request so far.

    Attributes:
        sends: Endpoints that it was sent to.
        unsent: Endpoints that took no connection.
        may_have_run: Whether an endpoint can have run it.
    """

    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def record(self, ending: Ending) -> None:
        """Counts an attempt.

        Args:
            ending: How it ended.
        """
        if ending is Ending.not_sent:
            self.unsent += 1
            return
        self.sends += 1
        if ending is not Ending.rejected:
            self.may_have_run = True


def may_try_again(
    history: AttemptHistory,
    ending: Ending,
    *,
    repeatability: Repeatability,
    maximum_endpoints: int,
    seconds_left: float,
    try_spend: Callable[[], bool],
) -> bool:
    """Tells whether another endpoint gets the request.

    Args:
        history: The attempts so far, the last one included.
        ending: How the last one ended.
        repeatability: What may be done again.
        maximum_endpoints: Endpoints that the request may be sent to.
        seconds_left: Time until its final answer is due.
        try_spend: Takes one repeat out of the allowance; called only if all else allows it.

    Returns:
        Whether it is tried again.
    """
    if seconds_left < _MINIMUM_SECONDS_LEFT:
        return False
    if history.may_have_run and not repeatability.may_repeat:
        return False
    if ending is Ending.not_sent:
        return history.unsent < _MAXIMUM_CONNECTION_FAILURES
    return history.sends < maximum_endpoints and try_spend()
