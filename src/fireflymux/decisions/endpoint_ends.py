"""Attempts that broke off on endpoints of which it is not known yet whether they have ended."""

from collections import deque

import attrs

#: Time after an attempt broke off in which the end of its endpoint must become known.
_PENDING_SECONDS = 5.0
_MAXIMUM_PENDING = 500
#: Ends that are remembered, to tell which endpoints a number stands for.
_MAXIMUM_ENDED = 100


@attrs.define(frozen=True)
class BrokenAttempt:
    """An attempt that broke off.

    Attributes:
        endpoint: Number of its endpoint.
        parts: Fingerprints of the parts of its prompt, without the last one.
        sent_at: Time at which it was sent, in seconds.
        broken_at: Time at which it broke off, in seconds.
    """

    endpoint: int
    parts: tuple[int, ...]
    sent_at: float
    broken_at: float


class EndpointEnds:
    """Broken attempts that wait for news of their endpoints, and the endpoints that ended."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self._pending: deque[BrokenAttempt] = deque(maxlen=_MAXIMUM_PENDING)
        self._ended: dict[int, tuple[str, float]] = {}

    def add(self, attempt: BrokenAttempt) -> None:
        """Adds an attempt; the oldest one is dropped for it if there are too many."""
        self._pending.append(attempt)

    def take(self, endpoint: int, now: float) -> list[BrokenAttempt]:
        """Removes and returns the attempts that broke off shortly before their endpoint ended.

        Args:
            endpoint: Number of the endpoint.
            now: Time in seconds.
        """
        taken: list[BrokenAttempt] = []
        while self._pending and now >= self._pending[0].broken_at + _PENDING_SECONDS:
            self._pending.popleft()
        for attempt in tuple(self._pending):
            if attempt.endpoint != endpoint:
                continue
            self._pending.remove(attempt)
            taken.append(attempt)
        return taken

    def record_end(self, endpoint: int, identifier: str, now: float) -> None:
        """Records that an endpoint has ended, for `describe`."""
        if len(self._ended) >= _MAXIMUM_ENDED:
            self._ended.pop(next(iter(self._ended)))
        self._ended.setdefault(endpoint, (identifier, now))

    def describe(self, endpoint: int, now: float) -> str:
        """Describes an endpoint that has ended; by its number if this instance did not see it."""
        if endpoint not in self._ended:
            return '#{0}'.format(endpoint)
        identifier, at = self._ended[endpoint]
        return '{0} {1:.1f} s ago'.format(identifier, now - at)
