"""Max-min shares of the client accounts: who was given more than its share.

Answers an account that asks for many times its share while engines are short: what it asks
beyond the level that all others could have as well is the first to be refused.
"""

import math
from collections.abc import Mapping

import attrs

from .account_buckets import AccountBuckets
from .account_usage import AccountUsage

#: Age at which the level is worked out anew, in seconds.
_REFRESH_SECONDS = 0.05
#: Parts of the window within which accounts get equal shares: over which the level is worked
#: out, and in which an empty bucket is filled up at that level.
_LEVEL_PART = 0.25
_DEPTH_FRACTION = 0.125
#: Part of a full bucket from which on an account is far from having its share.
_SHORT_FRACTION = 0.3


@attrs.define(frozen=True, kw_only=True)
class AccountStanding:
    """What one account asked for and was given lately, beside its max-min share.

    Attributes:
        asked: Tokens a second that it asked for.
        given: Tokens a second that it was given.
        level: Tokens a second at which accounts that ask for more are cut off; infinite while
            there is enough for all.
        missing: Tokens that its bucket lacks.
        is_over: Whether it was given more than its share.
        is_short: Whether it was given much less.
    """

    asked: float
    given: float
    level: float
    missing: float
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
            window_seconds: Time within which accounts that ask for more than there is get equal
                shares.
        """
        self._window_seconds = window_seconds
        self._seconds = _LEVEL_PART * window_seconds
        self._capacity = 0.0
        self.given = AccountUsage(self._seconds)
        self.asked = AccountUsage(self._seconds)
        self._buckets = AccountBuckets(_DEPTH_FRACTION * window_seconds)
        self._level = float('inf')
        self._refreshed_at = 0.0

    def usage_of(self, account: str, now: float) -> float:
        """Returns what an account was given lately that its share did not make up for since.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Tokens.
        """
        self._refresh(now)
        return self._buckets.count_missing(account)

    def is_over(self, account: str, now: float) -> bool:
        """Tells whether an account was given more than its max-min share lately.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether its bucket is empty.
        """
        return self.usage_of(account, now) > self._buckets.depth

    def is_short(self, account: str, now: float) -> bool:
        """Tells whether an account was given much less than its max-min share lately.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether it lacks so much that others should do without something for it; true for
            each account while there is enough for all.
        """
        return self.usage_of(account, now) < (1 - _SHORT_FRACTION) * self._buckets.depth

    def standing_of(self, account: str, now: float) -> AccountStanding:
        """Returns what the decisions about an account are based on.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Its standing.
        """
        return AccountStanding(
            asked=self.asked.total(account, now) / self._seconds,
            given=self.given.total(account, now) / self._seconds,
            missing=self.usage_of(account, now),
            level=self._level,
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
        self._buckets.take(account, tokens)

    def refund(self, account: str, tokens: float, *, charged_at: float, now: float) -> None:
        """Gives back what `charge` counted for a request that no endpoint ran.

        Args:
            account: Client account.
            tokens: Tokens.
            charged_at: Time of the charge, in seconds.
            now: Time in seconds.
        """
        self.given.refund(account, tokens, charged_at=charged_at, now=now)
        self._buckets.take(account, -tokens)

    def merge(
        self,
        instance: str,
        *,
        given: Mapping[str, float],
        asked: Mapping[str, float],
        now: float,
    ) -> None:
        """Takes over what another instance reported.

        Args:
            instance: Name of the instance.
            given: Tokens that it gave, by account.
            asked: Tokens that it was asked for, by account.
            now: Time in seconds.
        """
        for account, tokens in self.given.find_increases(instance, given, now).items():
            self._buckets.take(account, tokens)
        self.given.merge(instance, given, now)
        self.asked.merge(instance, asked, now)

    def forget(self, instance: str) -> None:
        """Drops what another instance reported."""
        self.given.forget(instance)
        self.asked.forget(instance)

    def _refresh(self, now: float) -> None:
        seconds = now - self._refreshed_at
        if seconds < _REFRESH_SECONDS:
            return
        self._refreshed_at = now
        given = sum(self.given.totals(now).values())
        # What engines gave a moment ago they can give again after a calm one.
        self._capacity = max(given, self._capacity * math.exp(-seconds / self._window_seconds))
        self._level = find_fair_level(self.asked.totals(now), self._capacity) / self._seconds
        self._buckets.fill(self._level, seconds)


def find_fair_level(asked: Mapping[str, float], capacity: float) -> float:
    """Finds the level at which accounts that ask for more are cut off.

    Args:
        asked: Tokens that each account asked for.
        capacity: Tokens that there are for all.

    Returns:
        The level; infinite if there is enough for all.
    """
    remaining = capacity
    demands = sorted(asked.values())
    for index, demand in enumerate(demands):
        level = remaining / (len(demands) - index)
        if demand > level:
            return level
        remaining -= demand
    return float('inf')
