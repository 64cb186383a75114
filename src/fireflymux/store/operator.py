"""Operator changes to contracts and endpoint announcements."""

import uuid
from collections.abc import Callable

import attrs
import trio

from ..messages import ConfigChange, Contract, EndpointAnnouncement
from ..settings import OperatorSettings
from ..web.http_clients import create_platform_client
from .config_commit import (
    Accepted,
    ChangeBuilder,
    CommitUnknown,
    Conflict,
    commit_change,
    load_configuration,
)
from .configuration import ENDPOINT_STATES, Configuration
from .contract_terms import find_problems
from .platform_client import PlatformClients

#: Marker and default of `if_version`, no version itself: expect the version that is current when
#: the command runs.
CURRENT_VERSION = -1


class InvalidChange(ValueError):
    """A change with a value that is not allowed in the configuration."""


def check_contract(contract: Contract) -> None:
    """Checks the terms of a contract.

    Args:
        contract: The contract.

    Raises:
        InvalidChange: A term is missing or out of range.
    """
    problems = find_problems(contract)
    if problems:
        raise InvalidChange('; '.join(problems))


def create_contract_change_builder(
    operator: str,
    revise: Callable[[Contract | None], Contract],
    account: str,
    expected_version: int,
) -> ChangeBuilder:
    """Creates the `ChangeBuilder` of a change to one contract.

    Args:
        operator: Name of the operator who makes the change.
        revise: Returns the new contract, given the existing one or None.
        account: The client account.
        expected_version: Version of the contract that the operator saw; zero if there was none.

    Returns:
        A builder that returns a conflict if the contract has another version, and raises
        `InvalidChange` if the new contract is invalid. `commit_change` replaces the version and
        identifier of the change that it builds.
    """

    def build(current: Configuration) -> ConfigChange | Conflict:
        existing = current.contracts.get(account)
        version = existing.version if existing else 0
        if version != expected_version:
            return Conflict(version, 'contract {0} is at version {1}'.format(account, version))
        contract = revise(existing)
        check_contract(contract)
        return ConfigChange(
            version=0,
            change_id=uuid.uuid4().hex,
            operator=operator,
            contract=contract,
        )

    return build


def create_announcement_builder(
    operator: str,
    announcement: EndpointAnnouncement,
    expected_version: int,
) -> ChangeBuilder:
    """Creates the `ChangeBuilder` of an endpoint announcement.

    Args:
        operator: Name of the operator who makes the change.
        announcement: The announcement; if its model is empty, the announced model is kept.
        expected_version: Version of the announcement that the operator saw; zero if there was
            none.

    Returns:
        A builder that returns a conflict if the announcement has another version.
        `commit_change` replaces the version and identifier of the change that it builds.

    Raises:
        InvalidChange: The state does not exist.
    """
    endpoint = announcement.endpoint
    if announcement.state not in ENDPOINT_STATES:
        raise InvalidChange('state must be one of {0}'.format(', '.join(sorted(ENDPOINT_STATES))))

    def build(current: Configuration) -> ConfigChange | Conflict:
        existing = current.endpoints.get(endpoint)
        version = existing.version if existing else 0
        if version != expected_version:
            return Conflict(version, 'endpoint {0} is at version {1}'.format(endpoint, version))
        previous_model = existing.model if existing else ''
        return ConfigChange(
            version=0,
            change_id=uuid.uuid4().hex,
            operator=operator,
            endpoint=attrs.evolve(announcement, model=announcement.model or previous_model),
        )

    return build


def _resolve_expected_version(
    existing: Contract | EndpointAnnouncement | None, if_version: int
) -> int:
    if if_version != CURRENT_VERSION:
        return if_version
    return existing.version if existing else 0


@attrs.define
class OperatorSession:
    """Runs an operator's commands against the platform, each with an HTTP client of its own.

    Attributes:
        settings: Settings of the operator's commands.
        operator: Name of the operator, recorded in every change.
    """

    settings: OperatorSettings
    operator: str

    def read(self) -> Configuration:
        """Reads the newest configuration.

        Returns:
            The configuration.

        Raises:
            PlatformError: A call to the platform failed.
            DecodeError: The head row is malformed.
        """
        return trio.run(self._read)

    def put_contract(
        self,
        account: str,
        revise: Callable[[Contract | None], Contract],
        *,
        if_version: int = CURRENT_VERSION,
    ) -> Accepted | Conflict | CommitUnknown:
        """Creates or changes a contract.

        Args:
            account: The client account.
            revise: Returns the new contract, given the existing one or None.
            if_version: Version that the contract must have; the current one by default.

        Returns:
            The outcome.

        Raises:
            InvalidChange: A term of the new contract is missing or out of range.
            PlatformError: The configuration could not be read before the first attempt.
            DecodeError: The head row is malformed.
        """

        def make_builder(current: Configuration) -> ChangeBuilder:
            existing = current.contracts.get(account)
            expected = _resolve_expected_version(existing, if_version)
            return create_contract_change_builder(self.operator, revise, account, expected)

        return trio.run(self._commit, make_builder)

    def announce(
        self,
        endpoint: str,
        state: str,
        *,
        model: str = '',
        if_version: int = CURRENT_VERSION,
    ) -> Accepted | Conflict | CommitUnknown:
        """Announces the state of an endpoint.

        Args:
            endpoint: Name of the endpoint.
            state: One of `ENDPOINT_STATES`.
            model: Model that the engine must load; if empty, the announced model is kept.
            if_version: Version that the announcement must have; the current one by default.

        Returns:
            The outcome.

        Raises:
            InvalidChange: The state does not exist.
            PlatformError: The configuration could not be read before the first attempt.
            DecodeError: The head row is malformed.
        """

        def make_builder(current: Configuration) -> ChangeBuilder:
            existing = current.endpoints.get(endpoint)
            expected = _resolve_expected_version(existing, if_version)
            announcement = EndpointAnnouncement(endpoint=endpoint, state=state, model=model)
            return create_announcement_builder(self.operator, announcement, expected)

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
