"""Requests that break off on one endpoint after the other, known to all entry instances."""

from collections.abc import Mapping

_KEEP_SECONDS = 60.0
_ENTRY_LIMIT = 500
#: Endpoints that may break off while they run the same request.
_MAXIMUM_CRASHES = 3


class CrashCounts:
    """Broken attempts by fingerprint of the request."""

    def __init__(self) -> None:
        """Starts empty."""
        self._own: dict[int, tuple[int, float]] = {}
        self._others: dict[str, Mapping[int, int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request broke off anywhere."""
        return not self._own and not any(self._others.values())

    def record(self, fingerprint: int, now: float) -> None:
        """Counts a broken attempt.

        Args:
            fingerprint: Digest of path, account and body.
            now: Time in seconds.
        """
        count, _ = self._own.get(fingerprint, (0, now))
        while len(self._own) >= _ENTRY_LIMIT and fingerprint not in self._own:
            self._own.pop(next(iter(self._own)))
        self._own[fingerprint] = (count + 1, now + _KEEP_SECONDS)

    def merge(self, instance: str, counts: Mapping[int, int]) -> None:
        """Takes over the counts of another instance.

        Args:
            instance: Name of the instance.
            counts: Its own counts.
        """
        self._others[instance] = counts

    def forget(self, instance: str) -> None:
        """Drops the counts of another instance."""
        self._others.pop(instance, None)

    def report(self, now: float) -> dict[int, int]:
        """Lists this instance's own counts that may matter to others.

        Args:
            now: Time in seconds.

        Returns:
            Broken attempts by fingerprint.
        """
        self._own = {key: entry for key, entry in self._own.items() if entry[1] > now}
        return {key: entry[0] for key, entry in self._own.items()}

    def is_refused(self, fingerprint: int) -> bool:
        """Tells whether a request broke off on too many endpoints.

        Args:
            fingerprint: Digest of the request.

        Returns:
            Whether it must not be sent again.
        """
        count, _ = self._own.get(fingerprint, (0, 0.0))
        count += sum(counts.get(fingerprint, 0) for counts in self._others.values())
        return count >= _MAXIMUM_CRASHES
