"""Checks the terms of a contract, before it is committed and when it is read."""

import math

from ..messages import Contract

#: Bounds of the numbers in a contract; beyond them, sums of service or rates lose all precision.
_MINIMUM_NUMBER = 1e-9
_MAXIMUM_NUMBER = 1e12


def find_problems(contract: Contract) -> list[str]:
    """Finds the terms of a contract that are missing or out of range.

    Args:
        contract: The contract.

    Returns:
        One sentence for each of them; empty if the contract is valid.
    """
    numbers = {
        'weight': contract.weight,
        'rate_per_second': contract.rate_per_second,
        'concurrency': contract.concurrency,
        'queue_length': contract.queue_length,
    }
    problems = [
        '{0} must be greater than zero and at most {1:g}'.format(name, _MAXIMUM_NUMBER)
        for name, number in numbers.items()
        if not math.isfinite(number) or not _MINIMUM_NUMBER <= number <= _MAXIMUM_NUMBER
    ]
    if not contract.account or '.' in contract.account:
        problems.append('account must be non-empty and must not contain a dot')
    if not contract.pools:
        problems.append('pools must contain at least one pool')
    return problems
