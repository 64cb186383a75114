"""Holds work back from an endpoint that does not accept calls.

A sidecar whose endpoint is gone fails each call at once and would have a free slot again at
once, so that it would draw the whole backlog of its pool.
"""

from collections.abc import Callable

_FIRST_PAUSE_SECONDS = 0.5
_PAUSE_LIMIT_SECONDS = 8.0


class EndpointHealth:
    """Pauses after calls that the endpoint did not accept, doubling while they go on."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Starts healthy.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._pause = 0.0
        self._until = float('-inf')

    @property
    def is_paused(self) -> bool:
        """Whether no call should be tried now."""
        return self._clock() < self._until

    def record_success(self) -> None:
        """Ends the pauses after a call that the endpoint accepted."""
        self._pause = 0.0

    def record_failure(self) -> None:
        """Starts a pause after a call that the endpoint did not accept."""
        if self.is_paused:
            return
        self._pause = min(max(self._pause * 2, _FIRST_PAUSE_SECONDS), _PAUSE_LIMIT_SECONDS)
        self._until = self._clock() + self._pause
