"""Max-min shares of the client accounts: who is given more than its share.

Answers an account that asks for many times its share while engines are short: what it asks
beyond the level that all others could have as well is the first to be refused.
"""

from collections.abc import Mapping


def find_fair_level(asked: Mapping[str, float], capacity: float) -> float:
    """Finds the level at which accounts that ask for more are cut off.

    Args:
        asked: Tokens that each account asked for.
        capacity: Tokens that there are for all.

    Returns:
        The level; infinite if there is enough for all.
    """
    left = capacity
    demands = sorted(asked.values())
    for place, demand in enumerate(demands):
        level = left / (len(demands) - place)
        if demand > level:
            return level
        left -= demand
    return float('inf')
