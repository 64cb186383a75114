"""In-memory replica of the configuration: contracts and endpoint announcements."""

from collections.abc import Iterable, Mapping

import attrs

from ..messages import ConfigChange, ConfigSnapshot, Contract, EndpointAnnouncement

#: Changes kept for replicas that are behind; a replica that is further behind gets a snapshot.
_MAXIMUM_RECENT_CHANGES = 1024
#: Announced states in which an endpoint gets no new requests; `maintenance` is one of them.
LEAVING_STATES = frozenset(('leaving', 'maintenance'))
#: All states that an operator can announce for an endpoint. The states by which endpoints
#: register themselves in the store of the entry role are others (`platform.endpoint_row`).
ENDPOINT_STATES = frozenset(('joined', 'leaving', 'maintenance'))


class Configuration:
    """Contracts and endpoint announcements at one version, which never decreases.

    It is the configuration of routers and sidecars; that of the entry role is the class of the
    same name in `decisions.entry_configuration`.
    """

    def __init__(self) -> None:
        """Creates an empty replica at version zero, with which no process serves requests."""
        self._version = 0
        self._contracts: dict[str, Contract] = {}
        self._endpoints: dict[str, EndpointAnnouncement] = {}
        self._recent_changes: list[ConfigChange] = []

    @property
    def version(self) -> int:
        """Version of the current content."""
        return self._version

    @property
    def contracts(self) -> Mapping[str, Contract]:
        """Contracts by client account, including retired ones."""
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
            Whether the endpoint must not get new requests; false if nothing is announced.
        """
        announcement = self._endpoints.get(endpoint)
        return announcement is not None and announcement.state in LEAVING_STATES

    def weight_of(self, account: str) -> float:
        """Returns the weight of a client account.

        Args:
            account: The client account.

        Returns:
            The weight from its contract, or 1 if the contract is not known yet.
        """
        contract = self._contracts.get(account)
        return contract.weight if contract else 1.0

    def apply(self, changes: Iterable[ConfigChange]) -> bool:
        """Applies the changes that directly follow the current version.

        Args:
            changes: Committed changes in any order. Changes already applied, and those after a
                gap in the versions, are ignored.

        Returns:
            Whether the version increased.
        """
        previous_version = self._version
        for change in sorted(changes, key=lambda item: item.version):
            if change.version != self._version + 1:
                continue
            self._apply_change(change)
        return self._version > previous_version

    def replace(self, snapshot: ConfigSnapshot) -> bool:
        """Replaces the content with a snapshot if the snapshot is newer.

        Args:
            snapshot: Snapshot of a committed version.

        Returns:
            Whether the snapshot was newer.
        """
        if snapshot.version <= self._version:
            return False
        self._contracts = {item.account: item for item in snapshot.contracts}
        self._endpoints = {item.endpoint: item for item in snapshot.endpoints}
        self._recent_changes = []
        self._version = snapshot.version
        return True

    def to_snapshot(self) -> ConfigSnapshot:
        """Creates a snapshot of the current content.

        Returns:
            The snapshot.
        """
        return ConfigSnapshot(
            version=self._version,
            contracts=list(self._contracts.values()),
            endpoints=list(self._endpoints.values()),
        )

    def changes_after(self, version: int) -> list[ConfigChange] | None:
        """Lists the changes since a version, for a replica that is behind.

        Args:
            version: Version of the other replica.

        Returns:
            The changes in order, or None if they are no longer all kept; the other replica
            then needs a snapshot.
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
        # Drops the oldest change if the list is full.
        self._recent_changes = [*self._recent_changes[1 - _MAXIMUM_RECENT_CHANGES :], change]
        self._version = change.version
