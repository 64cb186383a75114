"""Operator's changes of contracts and endpoint announcements."""

import uuid
from collections.abc import Callable

import attrs
import trio

from ..messages import ConfigChange, Contract, EndpointAnnouncement
from ..settings import OperatorSettings
from ..web.links import create_platform_client
from .config_commit import (
    Accepted,
    ChangeBuilder,
    CommitUnknown,
    Conflict,
    commit_change,
    load_configuration,
)
from .configuration import ENDPOINT_STATES, Configuration
from .platform_client import PlatformClients

#: Version that stands for the one that the command reads first.
CURRENT = -1


class InvalidChange(ValueError):
    """A change that no configuration may hold."""


def check_contract(contract: Contract) -> None:
    """Checks the terms of a contract.

    Args:
        contract: The contract.

    Raises:
        InvalidChange: A term is out of its range.
    """
    checks = (
        (bool(contract.account) and '.' not in contract.account, 'account: text without a dot'),
        (contract.weight > 0, 'weight: above zero'),
        (contract.rate_per_second > 0, 'rate_per_second: above zero'),
        (contract.concurrency > 0, 'concurrency: above zero'),
        (contract.queue_length > 0, 'queue_length: above zero'),
        (bool(contract.pools), 'pools: at least one'),
    )
    problems = [allowed for holds, allowed in checks if not holds]
    if problems:
        raise InvalidChange('; '.join(problems))


def build_contract_change(
    operator: str,
    revise: Callable[[Contract | None], Contract],
    account: str,
    expected_version: int,
) -> ChangeBuilder:
    """Builds the change of one contract.

    Args:
        operator: Who makes the change.
        revise: Makes the new contract from the old one, if there is one.
        account: The client account.
        expected_version: Version of the contract that the operator saw; zero if none.

    Returns:
        A builder that refuses when the contract was changed in the meantime.
    """

    def build(current: Configuration) -> ConfigChange | Conflict:
        found = current.contracts.get(account)
        version = found.version if found else 0
        if version != expected_version:
            return Conflict(version, 'contract {0} is at version {1}'.format(account, version))
        contract = revise(found)
        check_contract(contract)
        return ConfigChange(
            version=0,
            change_id=uuid.uuid4().hex,
            operator=operator,
            contract=contract,
        )

    return build


def build_announcement(
    operator: str,
    announcement: EndpointAnnouncement,
    expected_version: int,
) -> ChangeBuilder:
    """Builds the announcement of an endpoint.

    Args:
        operator: Who makes the change.
        announcement: The announcement; an empty model keeps the one announced before.
        expected_version: Version of the announcement that the operator saw; zero if none.

    Returns:
        A builder that refuses when another announcement came first.

    Raises:
        InvalidChange: There is no such state.
    """
    endpoint = announcement.endpoint
    if announcement.state not in ENDPOINT_STATES:
        raise InvalidChange('state: one of {0}'.format(', '.join(sorted(ENDPOINT_STATES))))

    def build(current: Configuration) -> ConfigChange | Conflict:
        found = current.endpoints.get(endpoint)
        version = found.version if found else 0
        if version != expected_version:
            return Conflict(version, 'endpoint {0} is at version {1}'.format(endpoint, version))
        previous_model = found.model if found else ''
        return ConfigChange(
            version=0,
            change_id=uuid.uuid4().hex,
            operator=operator,
            endpoint=attrs.evolve(announcement, model=announcement.model or previous_model),
        )

    return build


def _resolve_expected_version(
    found: Contract | EndpointAnnouncement | None, if_version: int
) -> int:
    if if_version != CURRENT:
        return if_version
    return found.version if found else 0


@attrs.define
class OperatorSession:
    """Runs operator's commands against the platform."""

    settings: OperatorSettings
    operator: str

    def read(self) -> Configuration:
        """Reads the newest configuration.

        Returns:
            The configuration.

        Raises:
            PlatformError: The platform did not answer.
        """
        return trio.run(self._read)

    def put_contract(
        self,
        account: str,
        revise: Callable[[Contract | None], Contract],
        *,
        if_version: int = CURRENT,
    ) -> Accepted | Conflict | CommitUnknown:
        """Creates or changes a contract.

        Args:
            account: The client account.
            revise: Makes the new contract from the old one.
            if_version: Version that the operator saw; the newest one by default.

        Returns:
            The tagged outcome.
        """

        def make_builder(current: Configuration) -> ChangeBuilder:
            found = current.contracts.get(account)
            expected = _resolve_expected_version(found, if_version)
            return build_contract_change(self.operator, revise, account, expected)

        return trio.run(self._commit, make_builder)

    def announce(
        self,
        endpoint: str,
        state: str,
        *,
        model: str = '',
        if_version: int = CURRENT,
    ) -> Accepted | Conflict | CommitUnknown:
        """Announces the state of an endpoint.

        Args:
            endpoint: Name of the endpoint.
            state: One of `ENDPOINT_STATES`.
            model: Model that the engine must load; empty keeps the one announced before.
            if_version: Version that the operator saw; the newest one by default.

        Returns:
            The tagged outcome.
        """

        def make_builder(current: Configuration) -> ChangeBuilder:
            found = current.endpoints.get(endpoint)
            expected = _resolve_expected_version(found, if_version)
            announcement = EndpointAnnouncement(endpoint=endpoint, state=state, model=model)
            return build_announcement(self.operator, announcement, expected)

        return trio.run(self._commit, make_builder)

    async def _read(self) -> Configuration:
        async with create_platform_client(self.settings.platform, self.settings.tls) as client:
            platform = PlatformClients.from_settings(self.settings.platform, client)
            current = Configuration()
            await load_configuration(platform.table, platform.objects, current)
            return current

    async def _commit(
        self,
        make_builder: Callable[[Configuration], ChangeBuilder],
    ) -> Accepted | Conflict | CommitUnknown:
        async with create_platform_client(self.settings.platform, self.settings.tls) as client:
            platform = PlatformClients.from_settings(self.settings.platform, client)
            current = Configuration()
            await load_configuration(platform.table, platform.objects, current)
            return await commit_change(platform, make_builder(current))
