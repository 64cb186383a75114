"""Limits how many requests a sidecar runs on its endpoint at once.

An engine accepts every request that arrives, and queues those that do not fit into its batch.
That queue knows nothing of account shares, so the window keeps it short: it shrinks and grows
with the measured time to the first token (additive increase, multiplicative decrease). Sidecars,
which use the window, take the first byte of a response for its first token. Entry instances
measure the time to the first event instead, and have no window.
"""

from collections.abc import Callable

_DECREASE_FACTOR = 0.8
_DECREASE_INTERVAL_SECONDS = 1.0
#: Fractions of the target time above which the window shrinks and below which it grows. The
#: first is below 1 so that requests admitted before a decrease still meet the target.
_DECREASE_THRESHOLD = 0.75
_INCREASE_THRESHOLD = 0.4


class AdmissionWindow:
    """Window of at least one request and at most as many as the endpoint has slots."""

    def __init__(
        self,
        slots: int,
        *,
        target_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        """Creates a window of the largest size.

        Args:
            slots: Largest window.
            target_seconds: Target for the time to the first token.
            clock: Returns the time in seconds.
        """
        self._slots = slots
        self._target = target_seconds
        self._clock = clock
        self._size = float(slots)
        self._decreased_at = float('-inf')

    @property
    def limit(self) -> int:
        """Number of requests that may run at once now."""
        return int(self._size)

    def observe(self, first_token_seconds: float) -> None:
        """Adjusts the window to one measured time to the first token.

        Args:
            first_token_seconds: Time from the call to the first token.
        """
        if first_token_seconds > self._target * _DECREASE_THRESHOLD:
            self._decrease()
        elif first_token_seconds < self._target * _INCREASE_THRESHOLD:
            self._size = min(self._size + 1 / self._size, float(self._slots))

    def _decrease(self) -> None:
        now = self._clock()
        if now - self._decreased_at < _DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._size = max(self._size * _DECREASE_FACTOR, 1.0)
