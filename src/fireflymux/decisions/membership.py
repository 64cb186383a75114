"""Tracks which endpoints exist, from the list in the store."""

import zlib
from collections.abc import Iterable, Mapping

import attrs

#: Delay before an entry that vanished around an outage of the store is removed; it may reappear.
_REMOVAL_DELAY_SECONDS = 1.5
#: Time after an outage of the store for which the removal of vanished entries is delayed.
_OUTAGE_GRACE_SECONDS = 3.0
#: Time in which the store drops the entry of an endpoint that is gone. Three missed heartbeats of
#: 1.2 s each make 3.6 s of it; the rest is the time until the store notices.
_ENTRY_EXPIRY_SECONDS = 6.0
#: Time for which an endpoint that is no longer listed is remembered as leaving.
_LEAVING_RETENTION_SECONDS = 60.0


@attrs.define(frozen=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        identifier: Its identifier in the store, the same for all its incarnations; requests name
            it, so that another endpoint at the same address rejects them.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: Its failure domain.
        slots: Number of requests that it runs at once.
        is_leaving: Whether it is shutting down and takes no new work.
        incarnation: Time of its start in milliseconds, which tells restarts apart.
        warmup_seconds: How much longer it warms up, as of the time when its entry was written.
    """

    identifier: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    incarnation: int
    warmup_seconds: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Unique key of this incarnation; `identifier` alone does not tell incarnations apart."""
        return self.identifier, self.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.host, self.port

    @property
    def number(self) -> int:
        """Checksum of `key`, which stands for this incarnation between instances."""
        return zlib.crc32('{0} {1}'.format(*self.key).encode())


@attrs.define(frozen=True)
class _Removal:
    """When an endpoint was removed from the list.

    Attributes:
        era: Era of the store whose list it was removed from.
        at: Time in seconds.
    """

    era: int
    at: float


@attrs.define(frozen=True)
class _WithheldEndpoint:
    """An endpoint that is probably gone, although a restored copy of the store lists it.

    Attributes:
        endpoint: The endpoint.
        until: Time in seconds from which it counts, if it is still listed then.
    """

    endpoint: Endpoint
    until: float


class Membership:
    """The endpoints in the store's list, corrected where the store may be wrong.

    - Around an outage of the store, entries may vanish and reappear. An entry that vanishes then
      is removed only after a delay, unless its endpoint is leaving.
    - A store that is restored from an older copy starts a new era. Its list may hold endpoints
      that have been removed since, and may lack that others are leaving. An endpoint that was
      seen leaving stays leaving. An endpoint that was removed shortly before is withheld until its
      entry is written again, or is still listed after the time in which the store drops the
      entries of endpoints that are gone.
    """

    def __init__(self) -> None:
        """Creates an empty list."""
        self._endpoints: dict[str, Endpoint] = {}
        self._pending_removals: dict[str, float] = {}
        self._grace_until = float('-inf')
        self._era = 0
        self._removals: dict[int, _Removal] = {}
        self._withheld: dict[str, _WithheldEndpoint] = {}
        self._leaving_seen_at: dict[int, float] = {}

    def record_outage(self, now: float) -> None:
        """Records that the store did not respond.

        Args:
            now: Time in seconds.
        """
        self._grace_until = now + _OUTAGE_GRACE_SECONDS

    def replace(self, endpoints: Iterable[Endpoint], now: float, *, era: int = 0) -> None:
        """Replaces the full list.

        Args:
            endpoints: Every endpoint in the list.
            now: Time in seconds.
            era: Era of the store that the list comes from.
        """
        if era > self._era:
            # Recent writes of endpoints are missing from the copy until they are repeated.
            self.record_outage(now)
        listed = {endpoint.identifier: endpoint for endpoint in endpoints}
        for missing in {*self._endpoints, *self._withheld} - set(listed):
            self.remove(missing, now)
        self._era = max(self._era, era)
        for endpoint in listed.values():
            removal = self._removals.get(endpoint.number)
            if (
                removal is not None
                and removal.era < era
                and now < removal.at + _ENTRY_EXPIRY_SECONDS
            ):
                until = now + _ENTRY_EXPIRY_SECONDS
                self._withheld[endpoint.identifier] = _WithheldEndpoint(endpoint, until)
                continue
            self.put(endpoint, now)

    def put(self, endpoint: Endpoint, now: float) -> None:
        """Adds or updates one entry of the list.

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

    def mark_leaving(self, number: int, now: float) -> None:
        """Marks an incarnation of an endpoint as leaving, whatever the list says.

        Args:
            number: Its number; it need not be listed yet.
            now: Time in seconds.
        """
        self._leaving_seen_at[number] = now
        for identifier, endpoint in self._endpoints.items():
            if endpoint.number == number:
                self._endpoints[identifier] = attrs.evolve(endpoint, is_leaving=True)

    def is_leaving(self, number: int) -> bool:
        """Tells whether an incarnation of an endpoint was seen leaving."""
        return number in self._leaving_seen_at

    def list_leaving(self) -> list[int]:
        """Returns the numbers of the listed endpoints that are leaving."""
        listed = self._endpoints.values()
        return [endpoint.number for endpoint in listed if endpoint.is_leaving]

    def remove(self, identifier: str, now: float) -> None:
        """Removes an entry that has vanished, or schedules its removal around an outage.

        The entry of a leaving endpoint is removed at once even then.

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
        """Applies due removals, and adds withheld endpoints that are still listed.

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
        """Returns all endpoints by identifier, including those that are leaving.

        This is the mapping that the membership itself keeps, not a copy; it changes later.
        """
        return self._endpoints

    def _expire_records(self, now: float) -> None:
        if not (self._removals or self._leaving_seen_at):
            return
        self._removals = {
            number: removal
            for number, removal in self._removals.items()
            if now < removal.at + _ENTRY_EXPIRY_SECONDS
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
