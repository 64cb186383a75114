"""Tracks the failure domains that the operator has evacuated, whose endpoints get no requests."""

from collections.abc import Iterable

import attrs

from .store_version import StoreVersion

#: Time after the store came back from an older copy for which an evacuation that the copy lacks
#: still holds: what was written since the copy is written again within it.
_RESTORE_GRACE_SECONDS = 6.0


@attrs.define(frozen=True, kw_only=True)
class EvacuationList:
    """The failure domains that are evacuated, as the store had them at one version.

    Attributes:
        version: Version of the store that they were read at.
        domains: Names of the failure domains.
    """

    version: StoreVersion
    domains: frozenset[str]


class Evacuations:
    """The newest list of evacuated failure domains, and when evacuations have ended.

    Lists come from the store, from notices and from snapshots in any order; the newest one counts.
    """

    def __init__(self) -> None:
        """Creates a state without evacuations, older than any list."""
        self._newest = EvacuationList(version=StoreVersion(), domains=frozenset())
        self._held_until: dict[str, float] = {}

    @property
    def newest(self) -> EvacuationList:
        """The newest list, to hand on to other instances."""
        return self._newest

    def replace(self, newer: EvacuationList, now: float) -> bool:
        """Takes over a list if it is newer.

        Args:
            newer: The list.
            now: Time in seconds.

        Returns:
            Whether the evacuated failure domains changed.
        """
        known = self._newest
        if newer.version <= known.version:
            return False
        before = self.list_domains(now)
        if newer.version.era > known.version.era:
            missing = known.domains - newer.domains
            self._held_until.update(dict.fromkeys(missing, now + _RESTORE_GRACE_SECONDS))
        self._newest = newer
        return self.list_domains(now) != before

    def change(
        self, version: StoreVersion, *, added: Iterable[str], removed: Iterable[str], now: float
    ) -> bool:
        """Applies changes that the store has told since the newest list.

        Args:
            version: Version of the store after the changes.
            added: Failure domains that are evacuated now.
            removed: Failure domains whose evacuation was taken back.
            now: Time in seconds.

        Returns:
            Whether the evacuated failure domains changed.
        """
        ended = frozenset(removed)
        before = self.list_domains(now)
        for domain in ended:
            self._held_until.pop(domain, None)
        domains = (self._newest.domains - ended) | frozenset(added)
        self.replace(EvacuationList(version=version, domains=domains), now)
        return self.list_domains(now) != before

    def list_domains(self, now: float) -> frozenset[str]:
        """Returns the failure domains whose endpoints get no requests.

        Args:
            now: Time in seconds.
        """
        held = (domain for domain, until in self._held_until.items() if until > now)
        return self._newest.domains.union(held)

    def expire(self, now: float) -> bool:
        """Drops evacuations that a restored copy lacks and that were not written again.

        Args:
            now: Time in seconds.

        Returns:
            Whether the evacuated failure domains changed.
        """
        overdue = {domain for domain, until in self._held_until.items() if until <= now}
        for ended in overdue:
            self._held_until.pop(ended)
        return not overdue.issubset(self._newest.domains)
