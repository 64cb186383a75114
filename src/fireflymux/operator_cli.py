"""The operator's commands: contracts, endpoints and status.

Exit codes: 0 success, 1 a request to the platform failed, 2 invalid settings or arguments,
3 conflict with another change, 4 the outcome of a change is unknown.
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
from .wire.codec import DecodeError, to_builtins

EXIT_PLATFORM_UNAVAILABLE = 1
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4


def _print_rows(rows: Sequence[dict[str, Any]], *, as_json: bool) -> None:
    if as_json:
        print_line(orjson.dumps(list(rows)).decode())
        return
    print_table(rows)


def _parse_version(text: str) -> int:
    return _parse_integer('if_version', text)


def _parse_integer(name: str, text: object) -> int:
    """Returns the integer in an argument, or ends the command if it is none."""
    try:
        return int(str(text))
    except ValueError:
        exit_with_error('{0}: found {1!r}, allowed an integer'.format(name, text), EXIT_USAGE)
        raise


def _parse_number(name: str, text: object) -> float:
    """Returns the number in an argument, or ends the command if it is none."""
    try:
        return float(str(text))
    except ValueError:
        exit_with_error('{0}: found {1!r}, allowed a number'.format(name, text), EXIT_USAGE)
        raise


class _OperatorCommands:
    """Base class of the operator's commands."""

    # Takes names and secrets as strings: by default, Fire evaluates Python literals, so that a
    # name such as 1e3 would become 1000.0.
    @SetParseFn(str, 'settings', 'operator')
    def __init__(
        self,
        settings: str = 'operator.ini',
        operator: str = '',
        json: bool = False,
    ) -> None:
        """Stores the options that all commands have.

        Args:
            settings: Path of an INI file with a section [platform].
            operator: Name to record with each change; by default the login name.
            json: Whether to print JSON instead of a table.
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
            exit_with_error('invalid change: {0}'.format(error), EXIT_USAGE)
        except PlatformError as error:
            exit_with_error(
                'request to the platform failed: {0}'.format(error), EXIT_PLATFORM_UNAVAILABLE
            )
        except DecodeError as error:
            exit_with_error(
                'the configuration cannot be read: {0}'.format(error), EXIT_PLATFORM_UNAVAILABLE
            )

    def _report_outcome(self, outcome: Accepted | Conflict | CommitUnknown) -> None:
        if isinstance(outcome, Conflict):
            exit_with_error('conflict: {0}'.format(outcome.detail), EXIT_CONFLICT)
        if isinstance(outcome, CommitUnknown):
            exit_with_error(
                'the outcome of change {0} is unknown: {1}'.format(
                    outcome.change_id, outcome.detail
                ),
                EXIT_OUTCOME_UNKNOWN,
            )
        if isinstance(outcome, Accepted):
            _print_rows([{'accepted_version': outcome.version}], as_json=self._json)


class ContractCommands(_OperatorCommands):
    """Create, change, retire and list contracts."""

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
            secret: Secret part of the account's API key; only its digest is stored.
            pools: Comma-separated names of the models and services that the account may call.
            weight: Weight of the account in fair sharing, relative to other accounts.
            rate: Maximum number of requests per second.
            concurrency: Maximum number of requests that run at once.
            queue: Maximum number of requests that wait at once.
            key_required: Comma-separated services whose calls need an Idempotency-Key.
        """
        contract = Contract(
            account=account,
            weight=_parse_number('weight', weight),
            rate_per_second=_parse_number('rate', rate),
            concurrency=_parse_integer('concurrency', concurrency),
            queue_length=_parse_integer('queue', queue),
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
        """Changes a contract.

        Args:
            account: The client account.
            if_version: Version of the contract that the change is based on; by default the current
                one.
            terms: Options to change: weight, rate, concurrency, queue, pools, secret,
                key_required.
        """

        parsed = self._run(lambda _: _parse_terms(terms))

        def revise(contract: Contract | None) -> Contract:
            if contract is None:
                raise InvalidChange('account: no contract with this name')
            return attrs.evolve(contract, **parsed)

        self._report_outcome(
            self._run(
                lambda session: session.put_contract(account, revise, if_version=if_version),
            )
        )

    @SetParseFn(_parse_version, 'if_version')
    @SetParseFn(str)
    def retire(self, account: str, if_version: int = CURRENT_VERSION) -> None:
        """Retires a contract; requests of its account are refused from then on.

        Args:
            account: The client account.
            if_version: Version of the contract that the change is based on; by default the current
                one.
        """

        def revise(contract: Contract | None) -> Contract:
            if contract is None:
                raise InvalidChange('account: no contract with this name')
            return attrs.evolve(contract, retired=True)

        self._report_outcome(
            self._run(
                lambda session: session.put_contract(account, revise, if_version=if_version),
            )
        )

    def list(self) -> None:
        """Lists the contracts in force without their key digests."""
        current = self._run(lambda session: session.read())
        rows = [to_builtins(contract) for contract in current.contracts.values()]
        for row in rows:
            row.pop('key_digest')
        _print_rows(rows, as_json=self._json)


class EndpointCommands(_OperatorCommands):
    """Announce and list states of endpoints."""

    @SetParseFn(_parse_version, 'if_version')
    @SetParseFn(str)
    def announce(
        self, endpoint: str, state: str, model: str = '', if_version: int = CURRENT_VERSION
    ) -> None:
        """Announces that an endpoint has joined, is leaving or is in maintenance.

        Args:
            endpoint: Name of the endpoint.
            state: One of joined, leaving and maintenance.
            model: Model that the engine must load before it receives new requests; empty to keep
                the current one.
            if_version: Version of the announcement that the change is based on; by default the
                current one.
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
    """Show the committed configuration."""

    def show(self) -> None:
        """Shows the configuration version and the number of contracts and announcements."""
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


def _parse_terms(terms: dict[str, str]) -> dict[str, Any]:
    parsers: dict[str, tuple[str, Callable[[str, str], Any]]] = {
        'weight': ('weight', _parse_number),
        'rate': ('rate_per_second', _parse_number),
        'concurrency': ('concurrency', _parse_integer),
        'queue': ('queue_length', _parse_integer),
        'pools': ('pools', lambda _, text: _split_names(text)),
        'secret': ('key_digest', lambda _, text: compute_key_digest(text)),
        'key_required': ('key_required_pools', lambda _, text: _split_names(text)),
    }
    unknown = set(terms) - set(parsers)
    if unknown:
        raise InvalidChange('terms: one of {0}'.format(', '.join(parsers)))
    parsed = {}
    for name, text in terms.items():
        member, parse = parsers[name]
        parsed[member] = parse(name, text)
    return parsed
