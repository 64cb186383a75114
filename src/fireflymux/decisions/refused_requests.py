"""Recognizes requests that callers send again after any entry instance has refused them.

During a long overload, callers retry refused requests. Such a request cannot meet its target any
more, counted from the first try, and must not take the place of one that still can.
"""

from collections import OrderedDict
from collections.abc import Iterable

#: Time after a refusal within which the same request counts as a retry.
_EXPIRY_SECONDS = 6.0


class RefusedRequests:
    """Fingerprints of recently refused requests.

    Attributes:
        unreported: Fingerprints of requests that this instance has refused since its last report
            to the others.
    """

    def __init__(self) -> None:
        """Creates an empty set of fingerprints."""
        self.unreported: list[int] = []
        self._refused_at: OrderedDict[int, float] = OrderedDict()

    def record(self, fingerprint: int, now: float) -> None:
        """Records a request that this instance has refused.

        Args:
            fingerprint: Digest of the request.
            now: Time in seconds.
        """
        self.unreported.append(fingerprint)
        self._add(fingerprint, now)

    def merge(self, fingerprints: Iterable[int], now: float) -> None:
        """Merges requests that another instance has refused.

        Args:
            fingerprints: Digests of the requests.
            now: Time in seconds.
        """
        for fingerprint in fingerprints:
            self._add(fingerprint, now)

    def was_refused(self, fingerprint: int, now: float) -> bool:
        """Tells whether a request is a retry of one that was refused recently.

        Args:
            fingerprint: Digest of the request.
            now: Time in seconds.

        Returns:
            Whether some instance has refused it recently.
        """
        refused_at = self._refused_at.get(fingerprint)
        return refused_at is not None and now - refused_at < _EXPIRY_SECONDS

    def _add(self, fingerprint: int, now: float) -> None:
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        while now - next(iter(self._refused_at.values())) > _EXPIRY_SECONDS:
            self._refused_at.popitem(last=False)
