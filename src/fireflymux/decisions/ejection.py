"""Holds work back from endpoints that do not accept connections or fail what they run."""

from collections.abc import Iterable

import attrs

from .endpoint_health import EndpointHealth

#: Weight of the newest result in the failure rate.
_RATE_WEIGHT = 0.12
#: Failure rate from which an endpoint is ejected, if others do better.
_EJECT_RATE = 0.35
#: An ejected endpoint fails at least this many times as often as the better half.
_EJECT_RATIO = 2.5
_EJECT_SECONDS = 3.0
#: Part of a service's endpoints that may be ejected at once.
_EJECTABLE_PART = 0.5


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
        self.failure_rate += _RATE_WEIGHT * (float(failed) - self.failure_rate)


def eject_outliers(records: Iterable[EndpointRecord], now: float) -> list[EndpointRecord]:
    """Ejects the endpoints of a service that fail far more often than the others.

    Args:
        records: Records of the service's endpoints.
        now: Time in seconds.

    Returns:
        The records that were ejected by this call.
    """
    known = list(records)
    rates = sorted(record.failure_rate for record in known)
    better_half = rates[: (len(rates) + 1) // 2]
    usual_rate = sum(better_half) / max(len(better_half), 1)
    least_rate = max(_EJECT_RATE, _EJECT_RATIO * usual_rate)
    room = int(_EJECTABLE_PART * len(known)) - sum(entry.ejected_until > now for entry in known)
    failing = [
        record
        for record in known
        if record.failure_rate >= least_rate and record.ejected_until <= now
    ]
    failing.sort(key=lambda record: -record.failure_rate)
    ejected = failing[: max(room, 0)]
    for record in ejected:
        record.ejected_until = now + _EJECT_SECONDS
        # A probation: the next few requests decide.
        record.failure_rate = _EJECT_RATE / 2
    return ejected
