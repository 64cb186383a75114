"""Bounds the retries of a client account to a part of its requests."""

import random

import attrs

_RATIO = 0.2
_RESERVE = 10.0
_FIRST_DELAY_SECONDS = 0.05
_DELAY_LIMIT_SECONDS = 2.0


@attrs.define
class RetryBudget:
    """Retries that remain; every request earns a part of one.

    Attributes:
        tokens: Retries that remain.
    """

    tokens: float = _RESERVE

    def earn(self) -> None:
        """Counts a new request."""
        self.tokens = min(self.tokens + _RATIO, _RESERVE)

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
    longest = min(_FIRST_DELAY_SECONDS * 2**attempt, _DELAY_LIMIT_SECONDS)
    return rng.uniform(0, longest)
