"""Finds the part of prompts that crashes each endpoint which begins to answer it.

A crash ends everything that runs on an endpoint, so that at first each part of each prompt there can
be the cause. A part that is in any complete response is not: it would have crashed that endpoint. The
parts that requests share are completed many times a second, and what remains at several crashes is
the cause. The last part of a prompt belongs to one request alone, which is counted by itself.

The instances share the counts. One that has completed a part clears it for the others, also if
it learns of the crashes later than they happened.
"""

from collections import OrderedDict
from collections.abc import Iterable

from .crash_counts import CrashCount, CrashCounts
from .endpoint_ends import EndpointEnds

#: Time for which a complete response shows that a part crashes nothing.
_COMPLETED_SECONDS = 60.0
#: Completed parts that one instance remembers; the oldest ones are dropped.
_MAXIMUM_COMPLETED = 5000


class PartCrashes:
    """Crashes by fingerprint of a part, without parts that were completed recently.

    Attributes:
        counts: The counts, which the instances share with those of requests.
        ends: Endpoints that ended, and broken attempts of which that is not known yet.
    """

    def __init__(self, counts: CrashCounts) -> None:
        """Creates a finder that has seen no response yet.

        Args:
            counts: The counts.
        """
        self.counts = counts
        self.ends = EndpointEnds()
        self._completed_at: OrderedDict[int, float] = OrderedDict()

    def record_crash(
        self, parts: Iterable[int], *, endpoint: int, sent_at: float, now: float
    ) -> list[int]:
        """Counts a crash for the parts of a prompt that ran on the endpoint.

        Args:
            parts: Fingerprints of the parts, without the last one.
            endpoint: Number of the endpoint.
            sent_at: Time at which the attempt was sent, in seconds.
            now: Time in seconds.

        Returns:
            The parts that it was counted for.
        """
        suspects = [part for part in parts if not self._was_completed(part, now)]
        for part in suspects:
            self.counts.record(part, endpoint=endpoint, sent_at=sent_at, now=now)
        return suspects

    def record_response(self, parts: Iterable[int], now: float) -> None:
        """Records a complete response, which shows that the parts of its prompt crash nothing.

        Args:
            parts: Fingerprints of the parts, without the last one.
            now: Time in seconds.
        """
        for part in parts:
            self._completed_at[part] = now
            self._completed_at.move_to_end(part)
            if not self.counts.is_empty:
                self.counts.record_response(part, now)
        while len(self._completed_at) > _MAXIMUM_COMPLETED:
            self._completed_at.popitem(last=False)

    def clear_completed(self, counts: Iterable[CrashCount], now: float) -> None:
        """Clears the counts of another instance for parts that were completed at this one.

        Args:
            counts: Counts that the other instance reported.
            now: Time in seconds.
        """
        for count in counts:
            if count.endpoints and self._was_completed(count.fingerprint, now):
                self.counts.record_response(count.fingerprint, now)

    def find_cause(self, parts: Iterable[int], now: float) -> int | None:
        """Finds the first part of a prompt that must not be sent to endpoints.

        Args:
            parts: Fingerprints of the parts, without the last one.
            now: Time in seconds.

        Returns:
            Its fingerprint; None if the prompt may be sent.
        """
        if self.counts.is_empty:
            return None
        for part in parts:
            if self.counts.must_refuse(part, now):
                return part
        return None

    def _was_completed(self, part: int, now: float) -> bool:
        return now < self._completed_at.get(part, float('-inf')) + _COMPLETED_SECONDS
