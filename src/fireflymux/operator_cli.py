"""The operator's commands: contracts, endpoints and status.

Exit codes: 0 done, 1 the platform did not answer, 2 bad settings or arguments, 3 conflict
with another change, 4 the outcome of a change is unknown.
"""

import getpass
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import orjson
from fire.decorators import SetParseFn

from .console import EXIT_USAGE, exit_with_error, print_line, print_table
from .messages import Contract
from .settings import OperatorSettings, SettingsError
from .store.config_commit import Accepted, CommitUnknown, Conflict
from .store.operator import CURRENT_VERSION, InvalidChange, OperatorSession
from .store.platform_client import PlatformError
from .web.credentials import compute_key_digest
from .wire.codec import to_builtins

EXIT_PLATFORM_UNAVAILABLE = 1
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4


def _print_rows(rows: Sequence[dict[str, Any]], *, as_json: bool) -> None:
    if as_json:
        print_line(orjson.dumps(list(rows)).decode())
        return
    print_table(rows)


def _parse_version(text: str) -> int:
    if not text.lstrip('-').isdigit():
        exit_with_error('if_version: found {0!r}, allowed a whole number'.format(text), EXIT_USAGE)
    return int(text)


class _OperatorCommands:
    """What the operator's commands share."""

    # Names and secrets are taken as they are: as Python literals, 1e3 would become 1000.0.
    @SetParseFn(str, 'settings', 'operator')
    def __init__(
        self,
        settings: str = 'operator.ini',
        operator: str = '',
        json: bool = False,
    ) -> None:
        """Keeps the options.

        Args:
            settings: Path of an INI file with a section [platform].
            operator: Name recorded with each change; the login name by default.
            json: Whether to print JSON in place of a table.
        """
        self._settings = settings
        self._operator = operator or getpass.getuser()
        self._json = json

    def _session(self) -> OperatorSession:
        try:
            return OperatorSession(OperatorSettings.from_file(self._settings), self._operator)
        except SettingsError as error:
            exit_with_error(str(error), EXIT_USAGE)
            raise

    def _run(self, action: Callable[[OperatorSession], Any]) -> Any:
        try:
            return action(self._session())
        except InvalidChange as error:
            exit_with_error('not allowed: {0}'.format(error), EXIT_USAGE)
        except PlatformError as error:
            exit_with_error(
                'the platform did not answer: {0}'.format(error), EXIT_PLATFORM_UNAVAILABLE
            )

    def _report_outcome(self, outcome: Accepted | Conflict | CommitUnknown) -> None:
        if isinstance(outcome, Conflict):
            exit_with_error('conflict: {0}'.format(outcome.detail), EXIT_CONFLICT)
        if isinstance(outcome, CommitUnknown):
            exit_with_error(
                'outcome unknown of change {0}: {1}'.format(outcome.change_id, outcome.detail),
                EXIT_OUTCOME_UNKNOWN,
            )
        if isinstance(outcome, Accepted):
            _print_rows([{'accepted_version': outcome.version}], as_json=self._json)


class ContractCommands(_OperatorCommands):
    """Creates, changes, retires and lists contracts."""

    @SetParseFn(str, 'account', 'secret', 'pools', 'key_required')
    def create(
        self,
        account: str,
        secret: str,
        pools: str,
        weight: float = 1.0,
        rate: float = 100.0,
        concurrency: int = 100,
        queue: int = 1000,
        key_required: str = '',
    ) -> None:
        """Creates a contract.

        Args:
            account: The client account.
            secret: Secret part of the caller's key; only its digest is stored.
            pools: Comma-separated models and services.
            weight: Share relative to other accounts.
            rate: Requests per second.
            concurrency: Requests that run at once.
            queue: Requests that wait at once.
            key_required: Comma-separated services whose calls need an Idempotency-Key.
        """
        contract = Contract(
            account=account,
            weight=float(weight),
            rate_per_second=float(rate),
            concurrency=int(concurrency),
            queue_length=int(queue),
            pools=_split_names(pools),
            key_digest=compute_key_digest(secret),
            key_required_pools=_split_names(key_required),
        )
        self._report_outcome(
            self._run(
                lambda session: session.put_contract(account, lambda _: contract, if_version=0),
            )
        )

    @SetParseFn(_parse_version, 'if_version')
    @SetParseFn(str)
    def change(self, account: str, if_version: int = CURRENT_VERSION, **terms: Any) -> None:
        """Changes terms of a contract.

        Args:
            account: The client account.
            if_version: Version of the contract that you saw; by default the newest one.
            terms: New terms: weight, rate, concurrency, queue, pools, secret, key_required.
        """

        def revise(contract: Contract | None) -> Contract:
            if contract is None:
                raise InvalidChange('account: no contract of this name')
            return attrs.evolve(contract, **_parse_terms(terms))

        self._report_outcome(
            self._run(
                lambda session: session.put_contract(account, revise, if_version=if_version),
            )
        )

    @SetParseFn(_parse_version, 'if_version')
    @SetParseFn(str)
    def retire(self, account: str, if_version: int = CURRENT_VERSION) -> None:
        """Retires a contract; its callers are refused from then on.

        Args:
            account: The client account.
            if_version: Version of the contract that you saw; by default the newest one.
        """

        def revise(contract: Contract | None) -> Contract:
            if contract is None:
                raise InvalidChange('account: no contract of this name')
            return attrs.evolve(contract, retired=True)

        self._report_outcome(
            self._run(
                lambda session: session.put_contract(account, revise, if_version=if_version),
            )
        )

    def list(self) -> None:
        """Lists the contracts in force; digests are left out."""
        current = self._run(lambda session: session.read())
        rows = [to_builtins(contract) for contract in current.contracts.values()]
        for row in rows:
            row.pop('key_digest')
        _print_rows(rows, as_json=self._json)


class EndpointCommands(_OperatorCommands):
    """Announces and lists endpoints."""

    @SetParseFn(_parse_version, 'if_version')
    @SetParseFn(str)
    def announce(
        self, endpoint: str, state: str, model: str = '', if_version: int = CURRENT_VERSION
    ) -> None:
        """Announces that an endpoint joins, leaves or stops for maintenance.

        Args:
            endpoint: Name of the endpoint.
            state: One of joined, leaving and maintenance.
            model: Model that the engine must load before it takes new work.
            if_version: Version of the announcement that you saw; by default the newest one.
        """
        self._report_outcome(
            self._run(
                lambda session: session.announce(
                    endpoint, state, model=model, if_version=if_version
                ),
            )
        )

    def list(self) -> None:
        """Lists the announcements in force."""
        current = self._run(lambda session: session.read())
        _print_rows([to_builtins(item) for item in current.endpoints.values()], as_json=self._json)


class StatusCommand(_OperatorCommands):
    """Shows the configuration version in force at the table."""

    def show(self) -> None:
        """Shows version and counts."""
        current = self._run(lambda session: session.read())
        retired = sum(1 for contract in current.contracts.values() if contract.retired)
        _print_rows(
            [
                {
                    'version': current.version,
                    'contracts': len(current.contracts) - retired,
                    'retired': retired,
                    'endpoints_announced': len(current.endpoints),
                }
            ],
            as_json=self._json,
        )


def _split_names(names: str) -> list[str]:
    return [name for name in names.split(',') if name]


def _parse_terms(terms: dict[str, Any]) -> dict[str, Any]:
    parsers: dict[str, tuple[str, Callable[[str], Any]]] = {
        'weight': ('weight', float),
        'rate': ('rate_per_second', float),
        'concurrency': ('concurrency', int),
        'queue': ('queue_length', int),
        'pools': ('pools', _split_names),
        'secret': ('key_digest', compute_key_digest),
        'key_required': ('key_required_pools', _split_names),
    }
    unknown = set(terms) - set(parsers)
    if unknown:
        raise InvalidChange('terms: one of {0}'.format(', '.join(parsers)))
    return {parsers[key][0]: parsers[key][1](text) for key, text in terms.items()}
