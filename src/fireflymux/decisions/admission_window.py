"""Number of requests that a sidecar admits to its endpoint at once.

Additive increase, multiplicative decrease on the time to the first token: an engine admits
requests as they arrive, so what it cannot batch waits in its own queue, where no account has
priority. The window keeps that queue short.
"""

from collections.abc import Callable

_DECREASE_FACTOR = 0.8
_DECREASE_INTERVAL_SECONDS = 1.0
#: Parts of the target: above the first the window shrinks, below the second it grows. The
#: requests admitted before a decrease still have to come in within the target.
_DECREASE_THRESHOLD = 0.75
_INCREASE_THRESHOLD = 0.4


class AdmissionWindow:
    """Window between one and the number of slots of the endpoint."""

    def __init__(
        self,
        slots: int,
        *,
        target_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        """Starts fully open.

        Args:
            slots: Largest window.
            target_seconds: Time that the first token should come within.
            clock: Returns the time in seconds.
        """
        self._slots = slots
        self._target = target_seconds
        self._clock = clock
        self._size = float(slots)
        self._decreased_at = float('-inf')

    @property
    def limit(self) -> int:
        """Largest number of requests to admit now."""
        return int(self._size)

    def observe(self, first_token_seconds: float) -> None:
        """Adapts the window to one time to the first token.

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
