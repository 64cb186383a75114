"""Max-min shares of the client accounts: who was given more than its share.

Answers an account that asks for many times its share while engines are short: what it asks
beyond the level that all others could have as well is the first to be refused.
"""

from collections.abc import Mapping

import attrs

from .account_usage import AccountUsage

#: Age at which the level is worked out anew, in seconds.
_LEVEL_SECONDS = 0.05
#: Part of its share from which on an account does without what costs the others.
_SHORT_PART = 0.7


@attrs.define(frozen=True, kw_only=True)
class AccountStanding:
    """What one account asked for and was given lately, beside its max-min share.

    Attributes:
        asked_tokens: Tokens that it asked for.
        given_tokens: Tokens that it was given.
        level_tokens: Share at which accounts that ask for more are cut off; infinite while there
            is enough for all.
        is_over: Whether it was given more than its share.
        is_short: Whether it was given much less.
    """

    asked_tokens: float
    given_tokens: float
    level_tokens: float
    is_over: bool
    is_short: bool


class FairShares:
    """Tokens that accounts asked for and were given, over all entry instances.

    Attributes:
        given: Tokens given to accounts.
        asked: Tokens that accounts asked for.
    """

    def __init__(self, window_seconds: float) -> None:
        """Starts with nothing given.

        Args:
            window_seconds: Time in which what was given decays to a third.
        """
        self.given = AccountUsage(window_seconds)
        self.asked = AccountUsage(window_seconds)
        self._totals: dict[str, float] = {}
        self._level = float('inf')
        self._valid_until = float('-inf')

    def usage_of(self, account: str, now: float) -> float:
        """Returns what an account was given lately.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Tokens.
        """
        self._refresh(now)
        return self._totals.get(account, 0.0)

    def is_over(self, account: str, now: float) -> bool:
        """Tells whether an account was given more than its max-min share lately.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether others were given less than they asked for meanwhile.
        """
        return self.usage_of(account, now) > self._level

    def is_short(self, account: str, now: float) -> bool:
        """Tells whether an account was given much less than its max-min share lately.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether it lacks so much that others should do without something for it; true for
            each account while there is enough for all.
        """
        return self.usage_of(account, now) < _SHORT_PART * self._level

    def standing_of(self, account: str, now: float) -> AccountStanding:
        """Returns what the decisions about an account are based on.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Its standing.
        """
        return AccountStanding(
            given_tokens=self.usage_of(account, now),
            asked_tokens=self.asked.total(account, now),
            level_tokens=self._level,
            is_over=self.is_over(account, now),
            is_short=self.is_short(account, now),
        )

    def charge(self, account: str, tokens: float, now: float) -> None:
        """Counts tokens given to an account by this instance.

        Args:
            account: Client account.
            tokens: Tokens.
            now: Time in seconds.
        """
        self.given.charge(account, tokens, now)
        self._totals[account] = self._totals.get(account, 0.0) + tokens

    def _refresh(self, now: float) -> None:
        if now < self._valid_until:
            return
        self._valid_until = now + _LEVEL_SECONDS
        self._totals = self.given.totals(now)
        self._level = find_fair_level(self.asked.totals(now), sum(self._totals.values()))


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
