"""Holds work back from an endpoint that does not accept calls.

A sidecar whose endpoint is gone fails each call at once and would have a free slot again at
once, so that it would draw the whole backlog of its pool.
"""

from collections.abc import Callable

_INITIAL_BACKOFF_SECONDS = 0.5
_MAXIMUM_BACKOFF_SECONDS = 8.0


class EndpointHealth:
    """Pauses after calls that the endpoint did not accept, doubling while they go on."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Starts healthy.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._backoff_seconds = 0.0
        self._backoff_until = float('-inf')

    @property
    def is_paused(self) -> bool:
        """Whether no call should be tried now."""
        return self._clock() < self._backoff_until

    def record_success(self) -> None:
        """Ends the pauses after a call that the endpoint accepted."""
        self._backoff_seconds = 0.0

    def record_failure(self) -> None:
        """Starts a pause after a call that the endpoint did not accept."""
        if self.is_paused:
            return
        self._backoff_seconds = min(
            max(self._backoff_seconds * 2, _INITIAL_BACKOFF_SECONDS), _MAXIMUM_BACKOFF_SECONDS
        )
        self._backoff_until = self._clock() + self._backoff_seconds
