"""Limits the requests to an endpoint that is warming up, over all instances together.

An endpoint that has just started bears few requests a second and can crash above that. All
instances compute the same division of its bound from the instances that they know, without any
exchange: each gets the same whole number of requests in any second. The sum over the instances
stays within the bound, also while reports are lost or instances cannot reach each other, as long
as each of them knows at least as many instances as there are.
"""

import zlib
from collections import deque
from collections.abc import Iterable

import attrs

#: Length of the sliding window that the bound is stated for.
_WINDOW_SECONDS = 1.0


@attrs.define(frozen=True, kw_only=True)
class WarmupBound:
    """Requests that an endpoint may get while it warms up, from all instances together.

    Attributes:
        seconds: How long it warms up after its start.
        target_per_second: Requests a second that it bears for the whole time; not zero.
        maximum_per_second: Requests that must not be exceeded in any second.
    """

    seconds: float
    target_per_second: float
    maximum_per_second: int

    @classmethod
    def from_rates(
        cls, *, seconds: float, per_second: float, overrun: float, tolerance: float
    ) -> 'WarmupBound':
        """Computes the bound from the rate that a service states.

        Args:
            seconds: How long an endpoint warms up.
            per_second: Requests a second that it bears.
            overrun: Factor on that rate that is still tolerated.
            tolerance: Requests beyond that which are still tolerated in a second.

        Returns:
            The bound.
        """
        return cls(
            seconds=seconds,
            target_per_second=per_second,
            maximum_per_second=int(per_second * overrun + tolerance),
        )


@attrs.define(frozen=True)
class WarmupShare:
    """Part of a bound that one instance may use.

    Attributes:
        per_second: Requests that it may send in any second.
        interval_seconds: Time between two requests that it places on the endpoint.
    """

    per_second: int
    interval_seconds: float


def divide_bound(
    bound: WarmupBound, *, endpoint: int, name: str, others: Iterable[str]
) -> WarmupShare:
    """Computes an instance's part of the bound of one endpoint.

    Where there are more instances than requests in the bound, rendezvous hashing chooses those
    that may send, for each endpoint others.

    Args:
        bound: The bound.
        endpoint: Number of the endpoint.
        name: Name of the instance.
        others: Names of all other instances that may run.

    Returns:
        The part; nothing may be sent if it holds no request.
    """
    names = {name, *others}
    senders = min(len(names), bound.maximum_per_second)
    if senders < len(names) and _count_preferred(names, name, endpoint) >= senders:
        return WarmupShare(0, float('inf'))
    return WarmupShare(bound.maximum_per_second // senders, senders / bound.target_per_second)


def _count_preferred(names: Iterable[str], name: str, endpoint: int) -> int:
    """Counts the instances that come before one in the order for an endpoint."""
    own = _rank(name, endpoint)
    return sum(_rank(other, endpoint) < own for other in names)


def _rank(name: str, endpoint: int) -> tuple[int, str]:
    return zlib.crc32('{0} {1}'.format(name, endpoint).encode()), name


class RequestPacer:
    """Spaces the requests of one instance to one endpoint while that warms up.

    Requests are spaced when they are placed, and counted again when they are sent: connections
    take different times to open, so that requests can be sent closer together than placed.
    """

    def __init__(self) -> None:
        """Creates a pacer of an endpoint that has got no request yet."""
        self._sent: deque[float] = deque()
        self._placed_at = float('-inf')

    def may_place(self, share: WarmupShare, now: float) -> bool:
        """Tells whether a request may be placed on the endpoint now.

        Args:
            share: Part of the bound that this instance may use.
            now: Time in seconds.
        """
        return now >= self._placed_at + share.interval_seconds and self.may_send(share, now)

    def may_send(self, share: WarmupShare, now: float) -> bool:
        """Tells whether a request that was placed there may be sent now.

        Args:
            share: Part of the bound that this instance may use.
            now: Time in seconds.
        """
        self._forget_old(now)
        return len(self._sent) < share.per_second

    def record_placed(self, now: float) -> None:
        """Records that a request was placed, whether or not the endpoint warms up.

        Args:
            now: Time in seconds.
        """
        self._placed_at = now

    def record_sent(self, now: float) -> None:
        """Records that a request was sent, whether or not the endpoint warms up.

        Args:
            now: Time in seconds.
        """
        self._forget_old(now)
        self._sent.append(now)

    def _forget_old(self, now: float) -> None:
        while self._sent and self._sent[0] < now - _WINDOW_SECONDS:
            self._sent.popleft()
