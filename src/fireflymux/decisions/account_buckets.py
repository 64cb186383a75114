"""Token buckets of client accounts, which fill at their max-min share.

Answers accounts that are busy one after the other. While there is enough for all, every bucket
is full: an account that was idle has no credit beyond that, and one that took spare capacity no
debt. Once capacity is short, accounts that ask for more than their share empty their buckets at
the same pace.
"""

#: Longest debt of an account, as a part of what a full bucket holds.
_MAXIMUM_DEBT = 1.0
_UNLIMITED = float('inf')


class AccountBuckets:
    """One bucket for each account, all of the same depth, which follows the level."""

    def __init__(self, depth_seconds: float) -> None:
        """Starts with full buckets and enough for all.

        Args:
            depth_seconds: Time in which an empty bucket is filled up.
        """
        self._depth_seconds = depth_seconds
        self._level = _UNLIMITED
        self._deficits: dict[str, float] = {}

    @property
    def depth(self) -> float:
        """Tokens in a full bucket; infinite while there is enough for all."""
        return self._depth_seconds * self._level

    def fill(self, level: float, seconds: float) -> None:
        """Fills the buckets up.

        Args:
            level: Tokens a second; infinite if there is enough for all.
            seconds: Time since the last call.
        """
        self._level = level
        if level == _UNLIMITED:
            self._deficits.clear()
            return
        refilled = level * seconds
        maximum_deficit = (1 + _MAXIMUM_DEBT) * self.depth
        self._deficits = {
            account: min(tokens - refilled, maximum_deficit)
            for account, tokens in self._deficits.items()
            if tokens > refilled
        }

    def take(self, account: str, tokens: float) -> None:
        """Takes tokens that an account was given.

        Args:
            account: Client account.
            tokens: Tokens; more than the bucket holds are a debt, less than none are given back.
        """
        self._deficits[account] = max(self.count_missing(account) + tokens, 0.0)

    def count_missing(self, account: str) -> float:
        """Returns how many tokens the bucket of an account lacks.

        Args:
            account: Client account.

        Returns:
            Tokens; beyond the depth of the bucket they are a debt.
        """
        return self._deficits.get(account, 0.0)
