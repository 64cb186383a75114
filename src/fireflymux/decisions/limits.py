"""Rate, concurrency and queue limits of a contract, enforced by each router on its own.

Each router gets the limit of the contract divided by the maximum number of routers that run at
once. The sum over all routers therefore stays within the contract even while routers cannot reach
each other, with one exception: a router may always run one request, queue one and save up one
token. Where a limit divided by the number of routers is less than that, the concurrency, queues
and bursts of all routers together can exceed the contract. The mean rate cannot.
"""

from collections.abc import Callable

import attrs

from ..messages import Contract

#: Capacity of a token bucket, as the time in which it refills.
_BURST_SECONDS = 1.0


@attrs.define
class _Bucket:
    tokens: float
    refilled_at: float


class RateLimiter:
    """One token bucket for each account, at one router; a bucket can hold at least one token."""

    def __init__(self, *, maximum_routers: int, clock: Callable[[], float]) -> None:
        """Creates a limiter with full buckets.

        Args:
            maximum_routers: Maximum number of routers that run at once.
            clock: Returns the time in seconds.
        """
        self._maximum_routers = maximum_routers
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def try_take(self, contract: Contract) -> bool:
        """Takes one token for a request, if the bucket holds one.

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


def divide_limit(limit: int, maximum_routers: int) -> int:
    """Divides an integer limit among the routers.

    Args:
        limit: Limit of the contract.
        maximum_routers: Maximum number of routers that run at once.

    Returns:
        The limit of one router, rounded down but at least one. With less than one for each router,
        the sum over the routers exceeds the limit of the contract.
    """
    return max(limit // maximum_routers, 1)
