"""Exponential backoff for an endpoint that does not accept calls or connections.

The user of the backoff decides what it means: a sidecar starts no calls until its end, while an
entry instance still sends requests to the endpoint if no other one is available.

Calls to an endpoint that is down fail at once, so that its slots are always free. Without the
backoff, its sidecar would take the whole backlog of the pool and fail it.
"""

from collections.abc import Callable

_INITIAL_BACKOFF_SECONDS = 0.5
_MAXIMUM_BACKOFF_SECONDS = 8.0


class EndpointBackoff:
    """Backoff of one endpoint, doubled with each further failure."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates the record of an endpoint that is not in a backoff.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._backoff_seconds = 0.0
        self._backoff_until = float('-inf')

    @property
    def until(self) -> float:
        """End of the last backoff in seconds; minus infinity before the first one."""
        return self._backoff_until

    @property
    def is_backing_off(self) -> bool:
        """Whether the backoff has begun and not ended yet."""
        return self._clock() < self._backoff_until

    def record_success(self) -> None:
        """Resets the length of the next backoff after a call that the endpoint accepted.

        A backoff that has begun is not shortened.
        """
        self._backoff_seconds = 0.0

    def record_failure(self) -> None:
        """Starts or doubles the backoff after a call that the endpoint did not accept.

        Failures during a backoff do not extend it.
        """
        if self.is_backing_off:
            return
        self._backoff_seconds = min(
            max(self._backoff_seconds * 2, _INITIAL_BACKOFF_SECONDS), _MAXIMUM_BACKOFF_SECONDS
        )
        self._backoff_until = self._clock() + self._backoff_seconds
