"""Limits that follow from a contract, enforced by each router on its own.

A router may spend the contract's rate and concurrency divided by the largest number of
routers that run at once. The sum over all routers then holds whoever can reach whom, since
no router needs another one to know its part.
"""

from collections.abc import Callable

import attrs

from ..messages import Contract

_BURST_SECONDS = 1.0


@attrs.define
class _Bucket:
    tokens: float
    refilled_at: float


class RateLimiter:
    """Token buckets of the accounts at one router."""

    def __init__(self, *, maximum_routers: int, clock: Callable[[], float]) -> None:
        """Starts with full buckets.

        Args:
            maximum_routers: Largest number of routers that run at once.
            clock: Returns the time in seconds.
        """
        self._maximum_routers = maximum_routers
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def try_take(self, contract: Contract) -> bool:
        """Takes the token of one request.

        Args:
            contract: Contract of the caller's account.

        Returns:
            Whether the rate allows the request.
        """
        rate = contract.rate_per_second / self._maximum_routers
        capacity = max(rate * _BURST_SECONDS, 1.0)
        now = self._clock()
        bucket = self._buckets.get(contract.account)
        if bucket is None:
            bucket = _Bucket(capacity, now)
            self._buckets[contract.account] = bucket
        bucket.tokens = min(bucket.tokens + (now - bucket.refilled_at) * rate, capacity)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


def share_of(limit: int, maximum_routers: int) -> int:
    """Divides a whole limit among the routers.

    Args:
        limit: Limit of the contract.
        maximum_routers: Largest number of routers that run at once.

    Returns:
        The part of one router, at least one.
    """
    return max(limit // maximum_routers, 1)
