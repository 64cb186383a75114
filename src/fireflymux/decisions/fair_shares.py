"""Max-min fair shares of the client accounts: which accounts have used more than their share.

Max-min fairness (water-filling) gives each account its demand, but no more than a level that is
the same for all; the level is set so that all capacity is used. An account that demands many
times its share while capacity is short is the first to be refused what exceeds the level.

Entry instances use these shares, which are rates of tokens. Sidecars use `AccountShares` instead,
which chooses the account of each free slot by virtual time.
"""

import math
from collections.abc import Mapping

import attrs

from .account_buckets import AccountBuckets
from .account_usage import AccountUsage

#: Minimum time between two computations of the level.
_REFRESH_SECONDS = 0.05
#: Fractions of the share window: the time constant of the usage from which the level is computed,
#: and the time in which an empty bucket refills at that level.
_LEVEL_FRACTION = 0.25
_DEPTH_FRACTION = 0.125
#: An account counts as having received less than its share (`is_short`) while its bucket holds
#: more than this fraction of its depth.
_SHORT_FRACTION = 0.3


@attrs.define(frozen=True, kw_only=True)
class AccountStanding:
    """Recent demand and usage of one account, beside its max-min fair share.

    Attributes:
        asked: Demand in tokens per second.
        given: Usage in tokens per second.
        level: Fair level in tokens per second; infinite while capacity covers all demand.
        missing: Deficit of its bucket: the tokens that it lacks to be full.
        is_over: Whether it has used more than its share: its bucket is in debt.
        is_short: Whether it has received less than its share, in that its bucket is still filled
            to more than a given fraction. Holds also for an account whose usage equals its share,
            as long as its bucket is that full.
    """

    asked: float
    given: float
    level: float
    missing: float
    is_over: bool
    is_short: bool


class FairShares:
    """Demand and usage of accounts over all entry instances, and the shares that follow.

    Attributes:
        given: Usage: decaying counts of tokens in requests that were placed, less refunds. Filled
            by `charge` and `refund`.
        asked: Demand: decaying counts of tokens in all requests that arrived. Filled by the entry
            instance, which calls `asked.charge` itself when a request arrives.
    """

    def __init__(self, window_seconds: float) -> None:
        """Creates shares of accounts without demand or usage.

        Args:
            window_seconds: Time within which accounts that demand more than their share get
                equal amounts.
        """
        self._window_seconds = window_seconds
        # Time constant of both counts, by which they are divided to get tokens per second.
        self._time_constant_seconds = _LEVEL_FRACTION * window_seconds
        self._capacity = 0.0
        self.given = AccountUsage(self._time_constant_seconds)
        self.asked = AccountUsage(self._time_constant_seconds)
        self._buckets = AccountBuckets(_DEPTH_FRACTION * window_seconds)
        self._level = float('inf')
        self._refreshed_at = 0.0

    def bucket_deficit_of(self, account: str, now: float) -> float:
        """Returns the recent usage (`given`) of an account that refills have not yet covered.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Deficit of its bucket: the tokens that it lacks to be full.
        """
        self._refresh(now)
        return self._buckets.deficit_of(account)

    def is_over(self, account: str, now: float) -> bool:
        """Tells whether an account has recently used more than its max-min fair share.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether its bucket is in debt: more tokens were taken than it held.
        """
        return self.bucket_deficit_of(account, now) > self._buckets.depth

    def is_short(self, account: str, now: float) -> bool:
        """Tells whether an account has recently received less than its max-min fair share.

        Such an account may be served at the cost of others, for example by the prefill of a prompt
        that another engine has cached.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Whether its bucket is still filled to more than a given fraction. True for every
            account while capacity covers all demand, and for one whose usage equals its share as
            long as its bucket is that full.
        """
        return self.bucket_deficit_of(account, now) < (1 - _SHORT_FRACTION) * self._buckets.depth

    def standing_of(self, account: str, now: float) -> AccountStanding:
        """Returns the figures on which decisions about an account are based.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            The demand, usage and share of the account.
        """
        return AccountStanding(
            asked=self.asked.total(account, now) / self._time_constant_seconds,
            given=self.given.total(account, now) / self._time_constant_seconds,
            missing=self.bucket_deficit_of(account, now),
            level=self._level,
            is_over=self.is_over(account, now),
            is_short=self.is_short(account, now),
        )

    def charge(self, account: str, tokens: float, now: float) -> None:
        """Counts the tokens of a request that this instance has placed, in `given` alone.

        Args:
            account: Client account.
            tokens: Tokens.
            now: Time in seconds.
        """
        self.given.charge(account, tokens, now)
        self._buckets.take(account, tokens)

    def refund(self, account: str, tokens: float, *, charged_at: float, now: float) -> None:
        """Takes back what `charge` counted for a request that no endpoint has run.

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
        """Merges the report of another instance.

        Args:
            instance: Name of the instance.
            given: Tokens of the requests that it placed, by account.
            asked: Tokens of all requests that it received, by account.
            now: Time in seconds.
        """
        for account, tokens in self.given.find_increases(instance, given, now).items():
            self._buckets.take(account, tokens)
        self.given.merge(instance, given, now)
        self.asked.merge(instance, asked, now)

    def forget(self, instance: str) -> None:
        """Drops the report of another instance."""
        self.given.forget(instance)
        self.asked.forget(instance)

    def _refresh(self, now: float) -> None:
        seconds = now - self._refreshed_at
        if seconds < _REFRESH_SECONDS:
            return
        self._refreshed_at = now
        given = sum(self.given.totals(now).values())
        # Usage falls when demand does, although the engines could still do as much. The highest
        # recent usage therefore counts as the capacity, decaying over the window.
        self._capacity = max(given, self._capacity * math.exp(-seconds / self._window_seconds))
        # Demand and capacity are decayed counts of tokens, and so is the level computed from them.
        self._level = (
            find_fair_level(self.asked.totals(now), self._capacity) / self._time_constant_seconds
        )
        self._buckets.refill(self._level, seconds)


def find_fair_level(asked: Mapping[str, float], capacity: float) -> float:
    """Computes the max-min fair level by water-filling.

    Args:
        asked: Demand of each account in tokens.
        capacity: Tokens available to all accounts together.

    Returns:
        The level, in tokens as the arguments: the largest amount that an account gets; infinite if
        the capacity covers all demand.
    """
    remaining = capacity
    demands = sorted(asked.values())
    for index, demand in enumerate(demands):
        level = remaining / (len(demands) - index)
        if demand > level:
            return level
        remaining -= demand
    return float('inf')
