"""Chooses which instances a report is sent to, so that few copies cross failure domains.

Answers fleets in which reports from each instance to each other would cost more bytes between
failure domains than the requests themselves: one copy goes to each other failure domain,
where its receiver hands it on to its neighbours.
"""

from collections.abc import Iterable, Mapping

import attrs

#: Interval between reports while something changes and instances are few.
MINIMUM_INTERVAL_SECONDS = 0.02
#: Reports that one instance takes in a second, of all others together.
_MAXIMUM_REPORTS_PER_SECOND = 650.0


@attrs.define(frozen=True)
class KnownInstance:
    """Another instance that was heard lately.

    Attributes:
        host: Its IP address.
        failure_domain: Where it is.
    """

    host: str
    failure_domain: str


def choose_interval(instances: int) -> float:
    """Chooses the time between an instance's reports.

    Args:
        instances: Other instances that were heard lately.

    Returns:
        Seconds; they grow with the instances, so that what one of them takes in is bounded.
    """
    return max(MINIMUM_INTERVAL_SECONDS, instances / _MAXIMUM_REPORTS_PER_SECOND)


def choose_receivers(
    instances: Iterable[KnownInstance],
    *,
    host: str,
    failure_domain: str,
) -> list[str]:
    """Chooses the receivers of an instance's own report.

    Args:
        instances: The other instances.
        host: IP address of the sender.
        failure_domain: Where the sender is.

    Returns:
        Addresses of all neighbours, and of one instance in each other failure domain; senders
        choose differently, so that handing on is spread.
    """
    by_domain: dict[str, list[str]] = {}
    for instance in instances:
        by_domain.setdefault(instance.failure_domain, []).append(instance.host)
    receivers = list(by_domain.pop(failure_domain, ()))
    for hosts in by_domain.values():
        receivers.append(_choose_relay(hosts, host))
    return receivers


def choose_neighbours(
    instances: Iterable[KnownInstance],
    *,
    origin: KnownInstance,
    failure_domain: str,
) -> list[str]:
    """Chooses the instances that a received report is handed on to.

    Args:
        instances: The other instances.
        origin: The instance that the report is of.
        failure_domain: Where the receiver is.

    Returns:
        Addresses of the receiver's neighbours; none for a report of a neighbour.
    """
    if origin.failure_domain == failure_domain:
        return []
    return [
        instance.host
        for instance in instances
        if instance.failure_domain == failure_domain and instance.host != origin.host
    ]


def _choose_relay(hosts: list[str], sender: str) -> str:
    ranked: Mapping[tuple[int, ...], str] = {_relay_rank(sender, host): host for host in hosts}
    return ranked[min(ranked)]


def _relay_rank(sender: str, host: str) -> tuple[int, ...]:
    # Sums of octets differ between senders, and are the same in every process.
    octets = [int(octet) for octet in host.split('.')]
    salt = sum(int(octet) for octet in sender.split('.'))
    return hash((salt, *octets)), *octets
