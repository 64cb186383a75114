"""Checks the terms of a contract, before it is committed and when it is read."""

import math

import attrs

from ..messages import ConfigChange, ConfigSnapshot, Contract
from ..observability.logs import get_logger

_log = get_logger(__name__)

#: Bounds of the numbers in a contract; beyond them, sums of service or rates lose all precision.
_MINIMUM_NUMBER = 1e-9
_MAXIMUM_NUMBER = 1e12
_NUMBERS = ('weight', 'rate_per_second', 'concurrency', 'queue_length')


def find_problems(contract: Contract) -> list[str]:
    """Finds the terms of a contract that are missing or out of range.

    Args:
        contract: The contract.

    Returns:
        One sentence for each of them; empty if the contract is valid.
    """
    numbers = {name: getattr(contract, name) for name in _NUMBERS}
    # A float that is not a number fails every comparison.
    problems = [
        '{0} must be greater than zero and at most {1:g}'.format(name, _MAXIMUM_NUMBER)
        for name, number in numbers.items()
        if not _MINIMUM_NUMBER <= number <= _MAXIMUM_NUMBER
    ]
    if not contract.account or '.' in contract.account:
        problems.append('account must be non-empty and must not contain a dot')
    if not contract.pools:
        problems.append('pools must contain at least one pool')
    return problems


def limit_terms(contract: Contract) -> Contract:
    """Brings the numbers of a contract that was read within the bounds.

    Operators' commands of earlier builds wrote any number greater than zero. Such a contract holds
    with the nearest number, as its account would be refused without it.

    Args:
        contract: The contract.

    Returns:
        The contract; numbers that were never valid are left as they are.
    """
    limited = {}
    for name in _NUMBERS:
        number = getattr(contract, name)
        if 0 < number < math.inf:
            bounded = min(max(number, _MINIMUM_NUMBER), _MAXIMUM_NUMBER)
            limited[name] = type(number)(bounded)
    return attrs.evolve(contract, **limited)


def limit_change(change: ConfigChange) -> ConfigChange:
    """Brings the contract of a change within the bounds.

    Args:
        change: A change that was read, from the table or from another router.

    Returns:
        The change; without its contract if that is invalid, so that the later changes apply.
    """
    if change.contract is None:
        return change
    contract = limit_terms(change.contract)
    problems = find_problems(contract)
    if not problems:
        return attrs.evolve(change, contract=contract)
    _log.warning('config_change_unreadable', version=change.version, reason='; '.join(problems))
    return attrs.evolve(change, contract=None)


def limit_snapshot(snapshot: ConfigSnapshot) -> ConfigSnapshot:
    """Brings the contracts of a snapshot within the bounds.

    Args:
        snapshot: A snapshot that was read, from the object store or from another router.

    Returns:
        The snapshot without its invalid contracts.
    """
    contracts = map(limit_terms, snapshot.contracts)
    valid = [contract for contract in contracts if not find_problems(contract)]
    return attrs.evolve(snapshot, contracts=valid)
