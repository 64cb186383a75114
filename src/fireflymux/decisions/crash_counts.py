"""Counts how often a request was running when an endpoint crashed, over all entry instances.

A request that crashes each endpoint that runs it must not be sent to further ones. An attempt that
breaks off, which is one without a complete response, is taken for a crash of its endpoint. Each
instance counts crashes by request and reports its counts to the others.

A complete response shows that the request does not crash endpoints, and clears its count on every
instance. Each count therefore carries a generation, which a complete response increases. Counts of
older generations are ignored, even if a delayed report brings them after the response.

A crash breaks off everything that runs on the endpoint, so that attempts which overlapped there
count as one crash.

Entry instances use these counts. Routers and sidecars use `CrashRegistry`, which finds the guilty
request by running suspects alone.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

#: Time until a count is dropped, after the last attempt that broke off (counted or not) or the
#: complete response that cleared it.
_EXPIRY_SECONDS = 60.0
#: Counts that one instance holds; the oldest one is dropped for a new one.
_MAXIMUM_ENTRIES = 500
#: Crashes after which a request is refused.
_MAXIMUM_CRASHES = 3


@attrs.define(frozen=True)
class CrashCount:
    """Crashes while one request ran, as counted by one instance.

    Attributes:
        fingerprint: Digest of path, account and body.
        generation: Number of complete responses that have cleared the count.
        endpoints: Numbers of the endpoints that crashed since, one entry for each crash, not for
            each attempt. Only the newest ones are kept, as many as lead to a refusal.
    """

    fingerprint: int
    generation: int
    endpoints: tuple[int, ...] = ()


@attrs.define
class _OwnCount:
    count: CrashCount
    expires_at: float
    last_broken_at: dict[int, float] = attrs.field(factory=dict)


class CrashCounts:
    """Crashes by fingerprint of the request, counted since its last complete response."""

    def __init__(self) -> None:
        """Creates an empty set of counts."""
        self._own: dict[int, _OwnCount] = {}
        self._others: dict[str, Mapping[int, CrashCount]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no instance holds a count."""
        return not self._own and not any(self._others.values())

    def record(self, fingerprint: int, *, endpoint: int, sent_at: float, now: float) -> None:
        """Counts an attempt that broke off, unless the crash is counted already.

        The count then expires later in both cases.

        Args:
            fingerprint: Digest of path, account and body.
            endpoint: Number of the endpoint.
            sent_at: Time at which the attempt was sent, in seconds.
            now: Time in seconds.
        """
        generation = self._generation_of(fingerprint)
        own = self._own.get(fingerprint)
        if own is None or own.count.generation < generation:
            own = self._put(CrashCount(fingerprint, generation), now)
        own.expires_at = now + _EXPIRY_SECONDS
        if own.last_broken_at.get(endpoint, float('-inf')) >= sent_at:
            return
        own.last_broken_at[endpoint] = now
        broken_endpoints = (*own.count.endpoints, endpoint)[-_MAXIMUM_CRASHES:]
        own.count = attrs.evolve(own.count, endpoints=broken_endpoints)

    def record_response(self, fingerprint: int, now: float) -> None:
        """Clears the count of a request that got a complete response.

        Args:
            fingerprint: Digest of path, account and body.
            now: Time in seconds.
        """
        if self._count_crashes(fingerprint):
            self._put(CrashCount(fingerprint, self._generation_of(fingerprint) + 1), now)

    def merge(self, instance: str, counts: Iterable[CrashCount]) -> None:
        """Stores the counts of another instance in place of its earlier ones.

        Args:
            instance: Name of the instance.
            counts: All counts of that instance.
        """
        self._others[instance] = {count.fingerprint: count for count in counts}

    def forget(self, instance: str) -> None:
        """Drops the counts of another instance."""
        self._others.pop(instance, None)

    def report(self, now: float) -> list[CrashCount]:
        """Drops expired counts and lists the rest, for reports to other instances.

        Args:
            now: Time in seconds.

        Returns:
            The counts of this instance.
        """
        self._own = {key: own for key, own in self._own.items() if own.expires_at > now}
        return [own.count for own in self._own.values()]

    def must_refuse(self, fingerprint: int) -> bool:
        """Tells whether a request must be refused, as it was running at too many crashes.

        Args:
            fingerprint: Digest of path, account and body.

        Returns:
            Whether it must not be sent again.
        """
        return self._count_crashes(fingerprint) >= _MAXIMUM_CRASHES

    def _put(self, count: CrashCount, now: float) -> _OwnCount:
        while len(self._own) >= _MAXIMUM_ENTRIES and count.fingerprint not in self._own:
            self._own.pop(next(iter(self._own)))
        own = _OwnCount(count, now + _EXPIRY_SECONDS)
        self._own[count.fingerprint] = own
        return own

    def _list_counts(self, fingerprint: int) -> list[CrashCount]:
        own = self._own.get(fingerprint)
        counts = [] if own is None else [own.count]
        for others in self._others.values():
            count = others.get(fingerprint)
            if count is not None:
                counts.append(count)
        return counts

    def _generation_of(self, fingerprint: int) -> int:
        counts = self._list_counts(fingerprint)
        return max((count.generation for count in counts), default=0)

    def _count_crashes(self, fingerprint: int) -> int:
        newest = self._generation_of(fingerprint)
        crashes: Counter[int] = Counter()
        for count in self._list_counts(fingerprint):
            if count.generation < newest:
                continue
            # Instances that report the same endpoint saw the same crash: the maximum counts,
            # not the sum.
            crashes |= Counter(count.endpoints)
        return crashes.total()
