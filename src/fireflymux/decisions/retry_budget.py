"""Bounds the retries of a client account to a fraction of its requests, and delays them.

Routers use it, each for the requests that it receives itself; `RetryAllowance` is the limit that
entry instances set on the retries for a service.
"""

import random

import attrs

#: Retries earned by each request.
_TOKENS_PER_REQUEST = 0.2
#: Retries that an account can save up; also what it starts with.
_MAXIMUM_TOKENS = 10.0
#: Maximum delay before a retry without a failed attempt; each failed attempt doubles it.
_INITIAL_DELAY_SECONDS = 0.05
_MAXIMUM_DELAY_SECONDS = 2.0


@attrs.define
class RetryBudget:
    """Token bucket for the retries of one account at one router, refilled by its requests.

    Attributes:
        tokens: Retries that are left; each request adds a fraction of one.
    """

    tokens: float = _MAXIMUM_TOKENS

    def earn(self) -> None:
        """Adds the tokens earned by a new request."""
        self.tokens = min(self.tokens + _TOKENS_PER_REQUEST, _MAXIMUM_TOKENS)

    def try_spend(self) -> bool:
        """Takes one retry, if one is left.

        Returns:
            Whether one was left.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential backoff with full jitter.

    Args:
        attempt: Number of failed attempts so far. It is 0 for a request that sidecars have refused
            to start; the first retry after a failed attempt has a maximum delay of twice the
            initial one.
        rng: Source of the jitter.

    Returns:
        Delay in seconds.
    """
    maximum_delay = min(_INITIAL_DELAY_SECONDS * 2**attempt, _MAXIMUM_DELAY_SECONDS)
    return rng.uniform(0, maximum_delay)
