"""Bounds the retries of a client account to a part of its requests."""

import random

import attrs

_TOKENS_PER_REQUEST = 0.2
_MAXIMUM_TOKENS = 10.0
_INITIAL_DELAY_SECONDS = 0.05
_MAXIMUM_DELAY_SECONDS = 2.0


@attrs.define
class RetryBudget:
    """Retries that remain; every request earns a part of one.

    Attributes:
        tokens: Retries that remain.
    """

    tokens: float = _MAXIMUM_TOKENS

    def earn(self) -> None:
        """Counts a new request."""
        self.tokens = min(self.tokens + _TOKENS_PER_REQUEST, _MAXIMUM_TOKENS)

    def try_spend(self) -> bool:
        """Takes one retry.

        Returns:
            Whether there was one left.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Returns the delay before an attempt, exponential with full jitter.

    Args:
        attempt: Number of attempts that failed.
        rng: Source of the jitter.

    Returns:
        Delay in seconds.
    """
    maximum_delay = min(_INITIAL_DELAY_SECONDS * 2**attempt, _MAXIMUM_DELAY_SECONDS)
    return rng.uniform(0, maximum_delay)
