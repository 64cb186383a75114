"""Holds work back from endpoints that do not accept connections or fail what they run."""

from collections.abc import Iterable

import attrs

from .endpoint_health import EndpointHealth

#: Weight of the newest result in the failure rate.
_FAILURE_RATE_GAIN = 0.12
#: Failure rate from which an endpoint is ejected, if others do better.
_MINIMUM_EJECTION_RATE = 0.35
#: An ejected endpoint fails at least this many times as often as the better half.
_OUTLIER_RATIO = 2.5
_EJECTION_SECONDS = 3.0
#: Part of a service's endpoints that may be ejected at once.
_MAXIMUM_EJECTED_FRACTION = 0.5


@attrs.define
class EndpointRecord:
    """Results of one endpoint.

    Attributes:
        reachability: Pauses after connections that it did not accept.
        failure_rate: Recent part of its requests that failed, 0 to 1.
        ejected_until: Time until which it gets no work while others do, in seconds.
        rests_until: Time until which it asked for no work at all, in seconds.
    """

    reachability: EndpointHealth
    failure_rate: float = 0.0
    ejected_until: float = float('-inf')
    rests_until: float = float('-inf')

    def rest(self, until: float) -> None:
        """Notes that the endpoint asked for no work.

        Args:
            until: End of that time in seconds; an earlier one shortens no rest.
        """
        self.rests_until = max(self.rests_until, until)

    def record(self, *, failed: bool) -> None:
        """Counts a result.

        Args:
            failed: Whether the request failed on the endpoint.
        """
        self.failure_rate += _FAILURE_RATE_GAIN * (float(failed) - self.failure_rate)


def eject_outliers(records: Iterable[EndpointRecord], now: float) -> list[EndpointRecord]:
    """Ejects the endpoints of a service that fail far more often than the others.

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
        # A probation: the next few requests decide.
        record.failure_rate = _MINIMUM_EJECTION_RATE / 2
    return ejected
