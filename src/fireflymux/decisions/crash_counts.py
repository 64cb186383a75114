"""Requests that break off on one endpoint after the other, known to all entry instances.

An answer shows that the request itself is not what breaks endpoints off, so it clears the count
on every instance. Each count carries a generation, which an answer increases: counts of an
older generation, also those of reports that were under way meanwhile, count no more.

An endpoint that crashes breaks off all that it runs, so that attempts which it ran at the same
time count once.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

_EXPIRY_SECONDS = 60.0
_MAXIMUM_ENTRIES = 500
#: Endpoints that may break off while they run the same request.
_MAXIMUM_CRASHES = 3


@attrs.define(frozen=True)
class CrashCount:
    """Broken attempts of one request on one instance.

    Attributes:
        fingerprint: Digest of path, account and body.
        generation: Answers that the counting began after.
        endpoints: Number of the endpoint of each attempt that broke off since.
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
    """Broken attempts by fingerprint of the request, since it was last answered."""

    def __init__(self) -> None:
        """Starts empty."""
        self._own: dict[int, _OwnCount] = {}
        self._others: dict[str, Mapping[int, CrashCount]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request broke off anywhere."""
        return not self._own and not any(self._others.values())

    def record(self, fingerprint: int, *, endpoint: int, sent_at: float, now: float) -> None:
        """Counts a broken attempt.

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

    def record_answer(self, fingerprint: int, now: float) -> None:
        """Clears the count of a request that was answered.

        Args:
            fingerprint: Digest of path, account and body.
            now: Time in seconds.
        """
        if self._count_crashes(fingerprint):
            self._put(CrashCount(fingerprint, self._generation_of(fingerprint) + 1), now)

    def merge(self, instance: str, counts: Iterable[CrashCount]) -> None:
        """Takes over the counts of another instance.

        Args:
            instance: Name of the instance.
            counts: Its own counts, in place of its earlier ones.
        """
        self._others[instance] = {count.fingerprint: count for count in counts}

    def forget(self, instance: str) -> None:
        """Drops the counts of another instance."""
        self._others.pop(instance, None)

    def report(self, now: float) -> list[CrashCount]:
        """Lists this instance's own counts that may matter to others.

        Args:
            now: Time in seconds.

        Returns:
            The counts.
        """
        self._own = {key: own for key, own in self._own.items() if own.expires_at > now}
        return [own.count for own in self._own.values()]

    def is_refused(self, fingerprint: int) -> bool:
        """Tells whether a request broke off on too many endpoints.

        Args:
            fingerprint: Digest of the request.

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
            # Instances that saw the same endpoint break off saw the same crash.
            crashes |= Counter(count.endpoints)
        return crashes.total()
