"""Endpoints as the store lists them: which ones may be given work."""

import zlib
from collections.abc import Iterable, Mapping

import attrs

#: An entry that vanished around an outage of the store may come back within this time.
_REMOVAL_DELAY_SECONDS = 1.5
#: How long an outage of the store makes vanished entries doubtful.
_OUTAGE_GRACE_SECONDS = 3.0
#: Time in which the entry of an endpoint that is gone lapses: three missed heartbeats of 1.2 s,
#: and the time until the store notices.
_LAPSE_SECONDS = 6.0
#: How long it is remembered of an endpoint that is no longer listed that it was leaving.
_LEAVING_RETENTION_SECONDS = 60.0


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

    @property
    def number(self) -> int:
        """Number that instances name this incarnation by among themselves."""
        return zlib.crc32('{0} {1}'.format(*self.key).encode())


@attrs.define(frozen=True)
class _Removal:
    """When an endpoint vanished from the list.

    Attributes:
        era: Era of the store's list.
        at: Time in seconds.
    """

    era: int
    at: float


@attrs.define(frozen=True)
class _WithheldEndpoint:
    """An entry that is taken for one of an endpoint that is gone.

    Attributes:
        endpoint: The endpoint.
        until: Time from which it counts if it is still there, in seconds.
    """

    endpoint: Endpoint
    until: float


class Membership:
    """The endpoints in the store's list, with a short grace around outages of the store.

    Answers a store that comes back from an older copy as well: an endpoint that was seen to
    leave stays a leaving one, and one that was seen to vanish stays out until the store shows
    it anew, or its entry has outlasted the time in which that of a silent endpoint lapses.
    """

    def __init__(self) -> None:
        """Starts with no endpoint."""
        self._endpoints: dict[str, Endpoint] = {}
        self._pending_removals: dict[str, float] = {}
        self._grace_until = float('-inf')
        self._era = 0
        self._removals: dict[int, _Removal] = {}
        self._withheld: dict[str, _WithheldEndpoint] = {}
        self._leaving_seen_at: dict[int, float] = {}

    def record_outage(self, now: float) -> None:
        """Notes that the store did not answer.

        Args:
            now: Time in seconds.
        """
        self._grace_until = now + _OUTAGE_GRACE_SECONDS

    def replace(self, endpoints: Iterable[Endpoint], now: float, *, era: int = 0) -> None:
        """Takes over the whole list.

        Args:
            endpoints: Every endpoint in the list.
            now: Time in seconds.
            era: Era of the store that the list is of.
        """
        if era > self._era:
            # What endpoints wrote lately is missing from the copy until they write it again.
            self.record_outage(now)
        listed = {endpoint.identifier: endpoint for endpoint in endpoints}
        for missing in {*self._endpoints, *self._withheld} - set(listed):
            self.remove(missing, now)
        self._era = max(self._era, era)
        for endpoint in listed.values():
            removal = self._removals.get(endpoint.number)
            if removal is not None and removal.era < era and now < removal.at + _LAPSE_SECONDS:
                until = now + _LAPSE_SECONDS
                self._withheld[endpoint.identifier] = _WithheldEndpoint(endpoint, until)
                continue
            self.put(endpoint, now)

    def put(self, endpoint: Endpoint, now: float) -> None:
        """Takes over one entry of the list.

        Args:
            endpoint: The endpoint.
            now: Time in seconds.
        """
        self._pending_removals.pop(endpoint.identifier, None)
        self._withheld.pop(endpoint.identifier, None)
        self._removals.pop(endpoint.number, None)
        if endpoint.is_leaving:
            self._leaving_seen_at[endpoint.number] = now
        elif self.is_leaving(endpoint.number):
            endpoint = attrs.evolve(endpoint, is_leaving=True)
        self._endpoints[endpoint.identifier] = endpoint

    def note_leaving(self, number: int, now: float) -> None:
        """Notes that an incarnation of an endpoint leaves, whatever the list says of it.

        Args:
            number: Its number; it need not be listed yet.
            now: Time in seconds.
        """
        self._leaving_seen_at[number] = now
        for identifier, endpoint in self._endpoints.items():
            if endpoint.number == number:
                self._endpoints[identifier] = attrs.evolve(endpoint, is_leaving=True)

    def is_leaving(self, number: int) -> bool:
        """Tells whether an incarnation of an endpoint was seen to leave."""
        return number in self._leaving_seen_at

    def list_leaving(self) -> list[int]:
        """Returns the numbers of the listed endpoints that leave."""
        listed = self._endpoints.values()
        return [endpoint.number for endpoint in listed if endpoint.is_leaving]

    def remove(self, identifier: str, now: float) -> None:
        """Notes that an entry vanished.

        Args:
            identifier: Identifier of the endpoint.
            now: Time in seconds.
        """
        self._withheld.pop(identifier, None)
        endpoint = self._endpoints.get(identifier)
        if endpoint is None:
            return
        if now < self._grace_until and not endpoint.is_leaving:
            self._pending_removals.setdefault(identifier, now + _REMOVAL_DELAY_SECONDS)
            return
        self._remove_now(endpoint, now)

    def expire(self, now: float) -> bool:
        """Removes vanished entries that did not come back, and takes in those that stayed.

        Args:
            now: Time in seconds.

        Returns:
            Whether the list changed.
        """
        overdue = [name for name, until in self._pending_removals.items() if until <= now]
        for identifier in overdue:
            self._remove_now(self._endpoints[identifier], now)
        confirmed = [entry for entry in self._withheld.values() if entry.until <= now]
        for withheld in confirmed:
            self.put(withheld.endpoint, now)
        self._expire_records(now)
        return bool(overdue or confirmed)

    def list_endpoints(self) -> Mapping[str, Endpoint]:
        """Returns every endpoint by identifier, leaving ones included."""
        return self._endpoints

    def _expire_records(self, now: float) -> None:
        if not (self._removals or self._leaving_seen_at):
            return
        self._removals = {
            number: removal
            for number, removal in self._removals.items()
            if now < removal.at + _LAPSE_SECONDS
        }
        self._leaving_seen_at.update(dict.fromkeys(self.list_leaving(), now))
        self._leaving_seen_at = {
            number: seen
            for number, seen in self._leaving_seen_at.items()
            if now < seen + _LEAVING_RETENTION_SECONDS
        }

    def _remove_now(self, endpoint: Endpoint, now: float) -> None:
        self._endpoints.pop(endpoint.identifier, None)
        self._pending_removals.pop(endpoint.identifier, None)
        self._removals[endpoint.number] = _Removal(self._era, now)
