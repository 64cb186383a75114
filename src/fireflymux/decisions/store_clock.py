"""Finds when the store made a response, from the steady clock that its responses state.

A response can be on its way for any time, and what it says is as old as that. The store's clock and
that of this process differ by an unknown offset. Each call was sent before its response was made,
so that the difference between the two times is never more than the offset.
"""

import attrs

#: Greatest error of one of the two clocks against the other, in seconds a second.
_DRIFT = 0.0002
#: Greatest difference between a stated time and the clock, in seconds.
_RESOLUTION_SECONDS = 0.001
#: Time after which a call that the store responds to at once has to measure the offset again.
_SAMPLE_SECONDS = 300.0


@attrs.define
class StoreClock:
    """The greatest known lower bound of the offset between the clocks.

    Attributes:
        offset: Seconds to add to a time of the store.
        measured_at: Time in seconds at which that was found.
        sampled_at: Time in seconds at which a call last had to measure it.
    """

    offset: float = float('-inf')
    measured_at: float = 0.0
    sampled_at: float = float('-inf')

    def claim_sample(self, now: float) -> bool:
        """Tells whether the next call has to measure the offset, and counts it as such if so."""
        if now < self.sampled_at + _SAMPLE_SECONDS:
            return False
        self.sampled_at = now
        return True

    def find_time(self, stated: float | None, *, sent_at: float, received_at: float) -> float:
        """Finds a time at which what a response says held; it is never later than that.

        Args:
            stated: Time of the store's clock in the response, in seconds; None if it has none.
            sent_at: Time at which the call was sent, in seconds.
            received_at: Time at which its response arrived, in seconds.

        Returns:
            Seconds, from `sent_at` to `received_at`.
        """
        if stated is None:
            return sent_at
        offset = self.offset - _DRIFT * (received_at - self.measured_at)
        measured = sent_at - stated - _RESOLUTION_SECONDS
        if measured >= offset:
            offset = measured
            self.offset = measured
            self.measured_at = received_at
        return min(max(stated + offset, sent_at), received_at)
