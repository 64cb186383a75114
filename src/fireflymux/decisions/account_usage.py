"""Tokens that each client account was given lately, over all entry instances."""

import math
from collections.abc import Mapping

#: Usage smaller than this is forgotten.
_NEGLIGIBLE_TOKENS = 1.0


class AccountUsage:
    """Tokens by account over the last moments, decaying; a measure of rates."""

    def __init__(self, window_seconds: float) -> None:
        """Starts with no usage.

        Args:
            window_seconds: Time in which usage decays to a third.
        """
        self._window = window_seconds
        self._own: dict[str, float] = {}
        self._updated = 0.0
        self._others: dict[str, tuple[float, Mapping[str, float]]] = {}

    def charge(self, account: str, tokens: float, now: float) -> None:
        """Counts tokens given to an account by this instance.

        Args:
            account: Client account.
            tokens: Tokens, estimated where they aren't known yet.
            now: Time in seconds.
        """
        self._decay(now)
        self._own[account] = self._own.get(account, 0.0) + tokens

    def refund(self, account: str, tokens: float, *, charged_at: float, now: float) -> None:
        """Takes back what is left of a charge.

        Args:
            account: Client account.
            tokens: Tokens that were charged.
            charged_at: Time of the charge, in seconds.
            now: Time in seconds.
        """
        self.charge(account, -tokens * self._factor(now - charged_at), now)

    def merge(self, instance: str, usage: Mapping[str, float], now: float) -> None:
        """Takes over the usage that another instance gave.

        Args:
            instance: Name of the instance.
            usage: Tokens by account.
            now: Time in seconds.
        """
        self._others[instance] = (now, usage)

    def find_increases(
        self, instance: str, usage: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Finds what another instance gave since its last report that was merged.

        Args:
            instance: Name of the instance.
            usage: Tokens by account, as it reports them now.
            now: Time in seconds.

        Returns:
            Tokens by account, less than none where more was given back than given; empty for an
            instance that was not heard before.
        """
        known = self._others.get(instance)
        if known is None:
            return {}
        heard, before = known
        age = now - heard
        kept = self._factor(age)
        # Half of the decay between the two reports is made up for, as for an even rate; what
        # was given during a long silence is not known from one report.
        restored = 1 / self._factor(min(age, self._window) / 2)
        return {
            account: restored * (usage.get(account, 0.0) - kept * before.get(account, 0.0))
            for account in usage.keys() | before.keys()
        }

    def forget(self, instance: str) -> None:
        """Drops what another instance gave."""
        self._others.pop(instance, None)

    def report(self, now: float) -> dict[str, float]:
        """Lists what this instance gave.

        Args:
            now: Time in seconds.

        Returns:
            Tokens by account.
        """
        self._decay(now)
        return dict(self._own)

    def total(self, account: str, now: float) -> float:
        """Returns what all instances gave to an account.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Tokens.
        """
        return self._own.get(account, 0.0) * self._factor(now - self._updated) + sum(
            usage.get(account, 0.0) * self._factor(now - heard)
            for heard, usage in self._others.values()
        )

    def totals(self, now: float) -> dict[str, float]:
        """Returns what all instances gave, by account.

        Args:
            now: Time in seconds.

        Returns:
            Tokens.
        """
        factor = self._factor(now - self._updated)
        totals = {account: tokens * factor for account, tokens in self._own.items()}
        for heard, usage in self._others.values():
            factor = self._factor(now - heard)
            for account, tokens in usage.items():
                totals[account] = totals.get(account, 0.0) + tokens * factor
        return totals

    def _factor(self, seconds: float) -> float:
        return math.exp(-max(seconds, 0.0) / self._window)

    def _decay(self, now: float) -> None:
        factor = self._factor(now - self._updated)
        self._updated = now
        self._own = {
            account: tokens * factor
            for account, tokens in self._own.items()
            if tokens * factor > _NEGLIGIBLE_TOKENS
        }
