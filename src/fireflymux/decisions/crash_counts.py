"""Counts how often a request was running when an endpoint crashed, over all entry instances.

A request that crashes each endpoint that runs it must not be sent to further ones. Each instance counts
crashes by fingerprint, which stands for a request or for a part of prompts (see `PartCrashes`), and
reports its counts to the others. For a request, each attempt that breaks off, which is one without a
complete response, is taken for a crash of its endpoint.

A complete response shows that the request does not crash endpoints, and clears its count on every
instance. Each count therefore carries a generation, which a complete response increases. Counts of
older generations are ignored, even if a delayed report brings them after the response.

A crash breaks off everything that runs on the endpoint, so that attempts which overlapped there
count as one crash.

What is refused is quarantined for a period. After that, whichever instance notices first increases
the generation and leaves one crash less than lead to a refusal: the next request is a trial.

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
#: Duration of a quarantine, and time after it in which one crash begins the next one.
_QUARANTINE_SECONDS = 120.0
_TRIAL_SECONDS = 600.0
#: Stand for the endpoints that crashed before a trial; the same at every instance.
_EARLIER_ENDPOINTS = tuple(range(_MAXIMUM_CRASHES - 1))


@attrs.define(frozen=True)
class CrashCount:
    """Crashes while one request ran, as counted by one instance.

    Attributes:
        fingerprint: Digest of the request or of the part.
        generation: Number of complete responses and ended quarantines before the count.
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
    changed_at: float
    last_broken_at: dict[int, float] = attrs.field(factory=dict)


class CrashCounts:
    """Crashes by fingerprint of the request, counted since its last complete response."""

    def __init__(self) -> None:
        """Creates an empty set of counts."""
        self._own: dict[int, _OwnCount] = {}
        self._others: dict[str, Mapping[int, CrashCount]] = {}
        self._quarantined_at: dict[int, float] = {}

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
        own.changed_at = now
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

    def update(self, instance: str, counts: Iterable[CrashCount]) -> None:
        """Stores some counts of another instance, and keeps its other ones.

        Args:
            instance: Name of the instance.
            counts: Counts of that instance; those of older generations are ignored.
        """
        known = dict(self._others.get(instance, {}))
        for count in counts:
            earlier = known.get(count.fingerprint)
            if earlier is None or earlier.generation <= count.generation:
                known[count.fingerprint] = count
        self._others[instance] = known

    def list_changed(self, since: float) -> list[CrashCount]:
        """Lists the counts of this instance that changed after a time, in seconds."""
        return [own.count for own in self._own.values() if own.changed_at > since]

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
        self._end_quarantines(now)
        self._own = {key: own for key, own in self._own.items() if own.expires_at > now}
        return [own.count for own in self._own.values()]

    def list_endpoints(self, fingerprint: int) -> list[int]:
        """Lists the endpoints that crashed in the newest generation, one for each crash.

        Args:
            fingerprint: Digest of the request or of a part of its prompt.

        Returns:
            Numbers of the endpoints.
        """
        newest = self._generation_of(fingerprint)
        crashes: Counter[int] = Counter()
        for count in self._list_counts(fingerprint):
            if count.generation < newest:
                continue
            # Instances that report the same endpoint saw the same crash: the maximum counts,
            # not the sum.
            crashes |= Counter(count.endpoints)
        return list(crashes.elements())

    def must_refuse(self, fingerprint: int, now: float) -> bool:
        """Tells whether a request must be refused, as it was running at too many crashes.

        This instance then reports the count as well, so that it outlives those that counted.

        Args:
            fingerprint: Digest of the request or of a part of its prompt.
            now: Time in seconds.

        Returns:
            Whether it must not be sent again.
        """
        endpoints = self.list_endpoints(fingerprint)
        if len(endpoints) < _MAXIMUM_CRASHES:
            self._quarantined_at.pop(fingerprint, None)
            return False
        if fingerprint not in self._quarantined_at:
            self._quarantined_at[fingerprint] = now
            generation = self._generation_of(fingerprint)
            count = CrashCount(fingerprint, generation, tuple(endpoints[-_MAXIMUM_CRASHES:]))
            own = self._put(count, now)
            own.expires_at = now + _QUARANTINE_SECONDS + _EXPIRY_SECONDS
        return True

    def _end_quarantines(self, now: float) -> None:
        over = [
            fingerprint
            for fingerprint, since in self._quarantined_at.items()
            if since + _QUARANTINE_SECONDS <= now
        ]
        for fingerprint in over:
            self._quarantined_at.pop(fingerprint)
            if len(self.list_endpoints(fingerprint)) < _MAXIMUM_CRASHES:
                continue
            generation = self._generation_of(fingerprint) + 1
            own = self._put(CrashCount(fingerprint, generation, _EARLIER_ENDPOINTS), now)
            own.expires_at = now + _TRIAL_SECONDS

    def _put(self, count: CrashCount, now: float) -> _OwnCount:
        if len(self._own) >= _MAXIMUM_ENTRIES and count.fingerprint not in self._own:
            # The oldest of those with the fewest crashes, so that many requests which ran at one
            # crash each do not displace one that has caused several.
            self._own.pop(min(self._own, key=self._count_own_crashes))
        own = _OwnCount(count, now + _EXPIRY_SECONDS, now)
        self._own[count.fingerprint] = own
        return own

    def _count_own_crashes(self, fingerprint: int) -> int:
        return len(self._own[fingerprint].count.endpoints)

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
        return len(self.list_endpoints(fingerprint))
