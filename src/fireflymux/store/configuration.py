"""Replica of the configuration: contracts and endpoint announcements at one version."""

from collections.abc import Iterable, Mapping

import attrs

from ..messages import ConfigChange, ConfigSnapshot, Contract, EndpointAnnouncement

_MAXIMUM_RECENT_CHANGES = 1024
LEAVING_STATES = frozenset(('leaving', 'maintenance'))
ENDPOINT_STATES = frozenset(('joined', 'leaving', 'maintenance'))


class Configuration:
    """Contracts and announcements; the version only rises."""

    def __init__(self) -> None:
        """Starts empty at version zero, which no process serves on."""
        self._version = 0
        self._contracts: dict[str, Contract] = {}
        self._endpoints: dict[str, EndpointAnnouncement] = {}
        self._recent_changes: list[ConfigChange] = []

    @property
    def version(self) -> int:
        """Version in force."""
        return self._version

    @property
    def contracts(self) -> Mapping[str, Contract]:
        """Contracts by client account, retired ones included."""
        return self._contracts

    @property
    def endpoints(self) -> Mapping[str, EndpointAnnouncement]:
        """Announcements by endpoint."""
        return self._endpoints

    def is_leaving(self, endpoint: str) -> bool:
        """Tells whether an endpoint is announced as leaving or under maintenance.

        Args:
            endpoint: Name of the endpoint.

        Returns:
            Whether it must receive no new work; an endpoint without announcement may work.
        """
        announcement = self._endpoints.get(endpoint)
        return announcement is not None and announcement.state in LEAVING_STATES

    def weight_of(self, account: str) -> float:
        """Returns the weight of a client account.

        Args:
            account: The client account.

        Returns:
            Its weight; one if the contract is not known yet.
        """
        contract = self._contracts.get(account)
        return contract.weight if contract else 1.0

    def apply(self, changes: Iterable[ConfigChange]) -> bool:
        """Applies the changes that follow the version in force without a gap.

        Args:
            changes: Committed changes in any order; known and later ones are passed over.

        Returns:
            Whether the version rose.
        """
        before = self._version
        for change in sorted(changes, key=lambda item: item.version):
            if change.version != self._version + 1:
                continue
            self._apply_change(change)
        return self._version > before

    def replace(self, snapshot: ConfigSnapshot) -> bool:
        """Replaces the whole content by a newer snapshot.

        Args:
            snapshot: A committed snapshot.

        Returns:
            Whether it was newer.
        """
        if snapshot.version <= self._version:
            return False
        self._contracts = {item.account: item for item in snapshot.contracts}
        self._endpoints = {item.endpoint: item for item in snapshot.endpoints}
        self._recent_changes = []
        self._version = snapshot.version
        return True

    def to_snapshot(self) -> ConfigSnapshot:
        """Copies the whole content.

        Returns:
            A snapshot at the version in force.
        """
        return ConfigSnapshot(
            version=self._version,
            contracts=list(self._contracts.values()),
            endpoints=list(self._endpoints.values()),
        )

    def changes_after(self, version: int) -> list[ConfigChange] | None:
        """Lists the recent changes that another replica lacks.

        Args:
            version: Version of the other replica.

        Returns:
            The changes in order, or None if only a snapshot closes the gap.
        """
        if version >= self._version:
            return []
        missing = [change for change in self._recent_changes if change.version > version]
        return missing if len(missing) == self._version - version else None

    def _apply_change(self, change: ConfigChange) -> None:
        if change.contract is not None:
            contract = attrs.evolve(change.contract, version=change.version)
            self._contracts[contract.account] = contract
        if change.endpoint is not None:
            announcement = attrs.evolve(change.endpoint, version=change.version)
            self._endpoints[announcement.endpoint] = announcement
        self._recent_changes = [*self._recent_changes[1 - _MAXIMUM_RECENT_CHANGES :], change]
        self._version = change.version
