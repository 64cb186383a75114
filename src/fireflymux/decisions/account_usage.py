"""Recent tokens of each client account, summed over all entry instances."""

import math
from collections.abc import Mapping

#: Usage below this is dropped.
_NEGLIGIBLE_TOKENS = 1.0


class AccountUsage:
    """Exponentially decaying token counts by account, of usage or of demand.

    `FairShares` keeps one of each. In the names and texts here, "usage" is whatever is counted.
    At a constant rate, a count settles at the rate times the time constant.
    """

    def __init__(self, time_constant_seconds: float) -> None:
        """Creates counts without usage.

        Args:
            time_constant_seconds: Time in which a count decays to 1/e.
        """
        self._time_constant = time_constant_seconds
        self._own: dict[str, float] = {}
        self._updated_at = 0.0
        self._reports: dict[str, tuple[float, Mapping[str, float]]] = {}

    def charge(self, account: str, tokens: float, now: float) -> None:
        """Counts tokens of an account through this instance.

        Args:
            account: Client account.
            tokens: Tokens, estimated where the number is not known yet.
            now: Time in seconds.
        """
        self._decay(now)
        self._own[account] = self._own.get(account, 0.0) + tokens

    def refund(self, account: str, tokens: float, *, charged_at: float, now: float) -> None:
        """Takes back a charge, less what has decayed since.

        Args:
            account: Client account.
            tokens: Tokens that were charged.
            charged_at: Time of the charge, in seconds.
            now: Time in seconds.
        """
        self.charge(account, -tokens * self._decay_factor(now - charged_at), now)

    def merge(self, instance: str, usage: Mapping[str, float], now: float) -> None:
        """Stores the report of another instance in place of its previous one.

        Args:
            instance: Name of the instance.
            usage: Its own decaying counts by account, as `report` returns them.
            now: Time in seconds.
        """
        self._reports[instance] = (now, usage)

    def find_increases(
        self, instance: str, usage: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Computes the usage through another instance since its last merged report.

        Args:
            instance: Name of the instance.
            usage: Its own decaying counts by account, as it reports them now.
            now: Time in seconds.

        Returns:
            Tokens by account, negative where more was refunded than charged; empty if no report
            of the instance was merged before.
        """
        previous_report = self._reports.get(instance)
        if previous_report is None:
            return {}
        received_at, previous = previous_report
        age = now - received_at
        decay = self._decay_factor(age)
        # Tokens charged since the previous report have decayed, too. At a constant rate they are
        # on average half the interval old, so half of its decay is undone. Intervals beyond the
        # time constant are capped: one report does not tell how usage was spread over them.
        correction = 1 / self._decay_factor(min(age, self._time_constant) / 2)
        return {
            account: correction * (usage.get(account, 0.0) - decay * previous.get(account, 0.0))
            for account in usage.keys() | previous.keys()
        }

    def forget(self, instance: str) -> None:
        """Drops the report of another instance."""
        self._reports.pop(instance, None)

    def report(self, now: float) -> dict[str, float]:
        """Returns the usage through this instance alone, for other instances.

        Args:
            now: Time in seconds.

        Returns:
            Decayed tokens by account.
        """
        self._decay(now)
        return dict(self._own)

    def total(self, account: str, now: float) -> float:
        """Returns the usage of one account over all instances.

        Args:
            account: Client account.
            now: Time in seconds.

        Returns:
            Decayed tokens.
        """
        return self._own.get(account, 0.0) * self._decay_factor(now - self._updated_at) + sum(
            usage.get(account, 0.0) * self._decay_factor(now - received_at)
            for received_at, usage in self._reports.values()
        )

    def totals(self, now: float) -> dict[str, float]:
        """Returns the usage of every account over all instances.

        Args:
            now: Time in seconds.

        Returns:
            Decayed tokens by account.
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
