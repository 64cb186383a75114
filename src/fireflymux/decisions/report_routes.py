"""Chooses the receivers of reports between instances.

If each instance sent its reports to every other one, reports could cost more traffic between
failure domains than the requests themselves. A sender therefore sends one copy to each other
failure domain, and its receiver relays it to its neighbours, the instances of its own domain.
"""

from collections.abc import Iterable, Mapping

import attrs

#: Minimum time between two reports of an instance.
MINIMUM_INTERVAL_SECONDS = 0.02
#: Reports per second that one instance receives from all others together.
_MAXIMUM_REPORTS_PER_SECOND = 650.0


@attrs.define(frozen=True)
class KnownInstance:
    """Another instance that has reported recently.

    Attributes:
        host: Its IP address.
        failure_domain: Its failure domain.
    """

    host: str
    failure_domain: str


def choose_report_interval(instances: int) -> float:
    """Chooses the time between two reports of an instance.

    Args:
        instances: Number of other instances that have reported recently.

    Returns:
        Seconds; proportional to the number of instances in large fleets, which bounds the
        reports that each instance receives.
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
        failure_domain: Failure domain of the sender.

    Returns:
        Addresses of all instances in the failure domain of the sender, and of one relay in each
        other one. Senders choose different relays, which spreads the load.
    """
    by_domain: dict[str, list[str]] = {}
    for instance in instances:
        by_domain.setdefault(instance.failure_domain, []).append(instance.host)
    receivers = list(by_domain.pop(failure_domain, ()))
    for hosts in by_domain.values():
        receivers.append(_choose_relay(hosts, host))
    return receivers


def choose_relay_targets(
    instances: Iterable[KnownInstance],
    *,
    origin: KnownInstance,
    failure_domain: str,
) -> list[str]:
    """Chooses the instances to which the receiver of a report relays it.

    Args:
        instances: The other instances.
        origin: The instance that the report comes from.
        failure_domain: Failure domain of the receiver.

    Returns:
        Addresses of the receiver's neighbours; none if the report comes from a neighbour, which
        has sent it to all of them.
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
    # The sum of the octets usually differs between senders. Hashes of integers are the same in
    # every process.
    octets = [int(octet) for octet in host.split('.')]
    salt = sum(int(octet) for octet in sender.split('.'))
    return hash((salt, *octets)), *octets
