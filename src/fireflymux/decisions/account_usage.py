"""Tokens that each client account was given lately, over all entry instances."""

import math
from collections.abc import Mapping

#: Usage smaller than this is forgotten.
_NEGLIGIBLE_TOKENS = 1.0


class AccountUsage:
    """Tokens by account over the last moments, decaying; a measure of rates."""

    def __init__(self, time_constant_seconds: float) -> None:
        """Starts with no usage.

        Args:
            window_seconds: Time in which usage decays to a third.
        """
        self._time_constant = time_constant_seconds
        self._own: dict[str, float] = {}
        self._updated_at = 0.0
        self._reports: dict[str, tuple[float, Mapping[str, float]]] = {}

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
        self.charge(account, -tokens * self._decay_factor(now - charged_at), now)

    def merge(self, instance: str, usage: Mapping[str, float], now: float) -> None:
        """Takes over the usage that another instance gave.

        Args:
            instance: Name of the instance.
            usage: Tokens by account.
            now: Time in seconds.
        """
        self._reports[instance] = (now, usage)

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
        previous_report = self._reports.get(instance)
        if previous_report is None:
            return {}
        received_at, previous = previous_report
        age = now - received_at
        decay = self._decay_factor(age)
        # Half of the decay between the two reports is made up for, as for an even rate; what
        # was given during a long silence is not known from one report.
        correction = 1 / self._decay_factor(min(age, self._time_constant) / 2)
        return {
            account: correction * (usage.get(account, 0.0) - decay * previous.get(account, 0.0))
            for account in usage.keys() | previous.keys()
        }

    def forget(self, instance: str) -> None:
        """Drops what another instance gave."""
        self._reports.pop(instance, None)

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
        return self._own.get(account, 0.0) * self._decay_factor(now - self._updated_at) + sum(
            usage.get(account, 0.0) * self._decay_factor(now - received_at)
            for received_at, usage in self._reports.values()
        )

    def totals(self, now: float) -> dict[str, float]:
        """Returns what all instances gave, by account.

        Args:
            now: Time in seconds.

        Returns:
            Tokens.
        """
        factor = self._decay_factor(now - self._updated_at)
        totals = {account: tokens * factor for account, tokens in self._own.items()}
        for received_at, usage in self._reports.values():
            factor = self._decay_factor(now - received_at)
            for account, tokens in usage.items():
                totals[account] = totals.get(account, 0.0) + tokens * factor
        return totals

    def _decay_factor(self, seconds: float) -> float:
        return math.exp(-max(seconds, 0.0) / self._time_constant)

    def _decay(self, now: float) -> None:
        factor = self._decay_factor(now - self._updated_at)
        self._updated_at = now
        self._own = {
            account: tokens * factor
            for account, tokens in self._own.items()
            if tokens * factor > _NEGLIGIBLE_TOKENS
        }
