"""Ejects endpoints whose requests fail far more often than on the rest of the service.

An ejected endpoint gets no work for a few seconds while others of the service can take it.
"""

from collections import deque
from collections.abc import Iterable

import attrs

from .endpoint_backoff import EndpointBackoff

#: Weight of the newest result in the moving average of the failure rate.
_FAILURE_RATE_GAIN = 0.12
#: Failure rate below which no endpoint is ejected.
_MINIMUM_EJECTION_RATE = 0.35
#: Failure rate from which an endpoint is ejected, as a multiple of the mean failure rate of the
#: better half of the service.
_OUTLIER_RATIO = 2.5
_EJECTION_SECONDS = 3.0
#: Fraction of the endpoints of a service that may be ejected at once.
_MAXIMUM_EJECTED_FRACTION = 0.5
#: Responses beyond all bounds after which an endpoint gets no work for the time of an ejection, and
#: the time within which they come.
_OVERSIZED_COUNT = 3
_OVERSIZED_WINDOW_SECONDS = 60.0


@attrs.define
class EndpointRecord:
    """Health of one endpoint, as one entry instance has seen it.

    Attributes:
        connection_backoff: Backoff after connections that it did not accept; until its end the
            endpoint gets work only if no other endpoint is available.
        failure_rate: Moving average of failures among its requests, 0 to 1.
        ejected_until: End of its ejection in seconds; until then it gets work only if no other
            endpoint is available.
        requested_backoff_until: End of the backoff that it has requested, in seconds; until then
            it gets no work at all.
    """

    connection_backoff: EndpointBackoff
    failure_rate: float = 0.0
    ejected_until: float = float('-inf')
    requested_backoff_until: float = float('-inf')
    _oversized_until: float = float('-inf')
    _oversized_at: deque[float] = attrs.field(factory=lambda: deque(maxlen=_OVERSIZED_COUNT))

    @property
    def refuses_until(self) -> float:
        """Time until which the endpoint gets no work at all, in seconds."""
        return max(self.requested_backoff_until, self._oversized_until)

    def record_oversized(self, now: float) -> bool:
        """Records a response that was larger than any may be.

        After some of them within a while, the endpoint gets no work for a time. What is left of
        them when it ends is one too few, so that one more begins the next such time.

        Args:
            now: Time in seconds.

        Returns:
            Whether such a time has begun by this response.
        """
        self._oversized_at.append(now)
        is_full = len(self._oversized_at) == _OVERSIZED_COUNT
        is_frequent = is_full and now - self._oversized_at[0] < _OVERSIZED_WINDOW_SECONDS
        if not is_frequent or self._oversized_until > now:
            return False
        self._oversized_until = now + _EJECTION_SECONDS
        return True

    def record_requested_backoff(self, until: float) -> None:
        """Records that the endpoint has requested a backoff, in `requested_backoff_until`.

        Args:
            until: End of the backoff in seconds; it never shortens one requested earlier.
        """
        self.requested_backoff_until = max(self.requested_backoff_until, until)

    def record(self, *, failed: bool) -> None:
        """Updates the failure rate with one result.

        Args:
            failed: Whether the request failed on the endpoint.
        """
        self.failure_rate += _FAILURE_RATE_GAIN * (float(failed) - self.failure_rate)


def eject_outliers(records: Iterable[EndpointRecord], now: float) -> list[EndpointRecord]:
    """Ejects the endpoints of a service that fail far more often than its better half.

    Args:
        records: Records of the service's endpoints.
        now: Time in seconds.

    Returns:
        The records that were ejected by this call.
    """
    service_records = list(records)
    rates = sorted(record.failure_rate for record in service_records)
    better_half = rates[: (len(rates) + 1) // 2]
    baseline_rate = sum(better_half) / max(len(better_half), 1)
    threshold = max(_MINIMUM_EJECTION_RATE, _OUTLIER_RATIO * baseline_rate)
    remaining = int(_MAXIMUM_EJECTED_FRACTION * len(service_records)) - sum(
        entry.ejected_until > now for entry in service_records
    )
    failing = [
        record
        for record in service_records
        if record.failure_rate >= threshold and record.ejected_until <= now
    ]
    failing.sort(key=lambda record: -record.failure_rate)
    ejected = failing[: max(remaining, 0)]
    for record in ejected:
        record.ejected_until = now + _EJECTION_SECONDS
        # Half the minimum: after the ejection a few more failures eject it again.
        record.failure_rate = _MINIMUM_EJECTION_RATE / 2
    return ejected
