"""Recognizes requests that come back after they were refused, on any entry instance.

Answers overload that lasts longer than callers wait: a request that comes back cannot be on
time any more, and must not take the place of one that still can.
"""

from collections import OrderedDict
from collections.abc import Iterable

#: Time within which a refused caller comes back, in seconds.
_EXPIRY_SECONDS = 6.0


class RefusedRequests:
    """Fingerprints of refused requests.

    Attributes:
        unreported: Fingerprints refused here since the last report to other instances.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.unreported: list[int] = []
        self._refused_at: OrderedDict[int, float] = OrderedDict()

    def record(self, fingerprint: int, now: float) -> None:
        """Notes a request that this instance refused.

        Args:
            fingerprint: Digest of the request.
            now: Time in seconds.
        """
        self.unreported.append(fingerprint)
        self._add(fingerprint, now)

    def merge(self, fingerprints: Iterable[int], now: float) -> None:
        """Notes requests that another instance refused.

        Args:
            fingerprints: Digests of the requests.
            now: Time in seconds.
        """
        for fingerprint in fingerprints:
            self._add(fingerprint, now)

    def was_refused(self, fingerprint: int, now: float) -> bool:
        """Tells whether a request was refused lately.

        Args:
            fingerprint: Digest of the request.
            now: Time in seconds.

        Returns:
            Whether it comes back.
        """
        refused_at = self._refused_at.get(fingerprint)
        return refused_at is not None and now - refused_at < _EXPIRY_SECONDS

    def _add(self, fingerprint: int, now: float) -> None:
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        while now - next(iter(self._refused_at.values())) > _EXPIRY_SECONDS:
            self._refused_at.popitem(last=False)
