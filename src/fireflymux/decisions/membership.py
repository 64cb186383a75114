"""Endpoints as the store lists them: which ones may be given work."""

from collections.abc import Iterable, Mapping

import attrs

#: An entry that vanished around an outage of the store may come back within this time.
_RETURN_SECONDS = 1.5
#: How long an outage of the store makes vanished entries doubtful.
_DOUBT_SECONDS = 3.0


@attrs.define(frozen=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        identifier: Its identifier in the store; requests name it, so that another endpoint
            at the same address rejects them.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: Where it is.
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        incarnation: Time of its start in milliseconds; a restart has another one.
    """

    identifier: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    incarnation: int

    @property
    def key(self) -> tuple[str, int]:
        """What tells this incarnation from all others."""
        return self.identifier, self.incarnation


class Membership:
    """The endpoints in the store's list, with a short grace around outages of the store."""

    def __init__(self) -> None:
        """Starts with no endpoint."""
        self._endpoints: dict[str, Endpoint] = {}
        self._vanishing: dict[str, float] = {}
        self._doubt_until = float('-inf')

    def record_outage(self, now: float) -> None:
        """Notes that the store did not answer.

        Args:
            now: Time in seconds.
        """
        self._doubt_until = now + _DOUBT_SECONDS

    def replace(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Takes over the whole list.

        Args:
            endpoints: Every endpoint in the list.
            now: Time in seconds.
        """
        listed = {endpoint.identifier: endpoint for endpoint in endpoints}
        for missing in set(self._endpoints) - set(listed):
            self.remove(missing, now)
        for endpoint in listed.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Takes over one entry of the list."""
        self._vanishing.pop(endpoint.identifier, None)
        self._endpoints[endpoint.identifier] = endpoint

    def remove(self, identifier: str, now: float) -> None:
        """Notes that an entry vanished.

        Args:
            identifier: Identifier of the endpoint.
            now: Time in seconds.
        """
        if identifier not in self._endpoints:
            return
        if now < self._doubt_until and not self._endpoints[identifier].is_leaving:
            self._vanishing.setdefault(identifier, now + _RETURN_SECONDS)
            return
        self._endpoints.pop(identifier)
        self._vanishing.pop(identifier, None)

    def expire(self, now: float) -> None:
        """Removes vanished entries that did not come back.

        Args:
            now: Time in seconds.
        """
        overdue = [name for name, until in self._vanishing.items() if until <= now]
        for identifier in overdue:
            self._vanishing.pop(identifier)
            self._endpoints.pop(identifier, None)

    def list_endpoints(self) -> Mapping[str, Endpoint]:
        """Returns every endpoint by identifier, leaving ones included."""
        return self._endpoints
