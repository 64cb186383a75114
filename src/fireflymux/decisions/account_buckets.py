"""Token buckets of client accounts, which fill at their max-min share.

Answers accounts that are busy one after the other. An account that was idle has a full bucket and no
more, so that idle time earns no credit; one that took spare capacity has a full bucket as well, since
buckets fill at any rate while there is enough for all, so that this is no debt. Once capacity is
short, each account that asks for more than its share empties its bucket, and is over its share.
"""

#: Part of the longest debt that an account can have, beside what a full bucket holds.
_DEBT_PART = 1.0
_UNLIMITED = float('inf')


class AccountBuckets:
    """What accounts were given beyond what their buckets were filled up with since.

    The depth of a bucket follows the level, so that accounts that ask for more than there is
    have buckets of the same depth at any moment.
    """

    def __init__(self, depth_seconds: float) -> None:
        """Starts with full buckets and enough for all.

        Args:
            depth_seconds: Time in which an empty bucket is filled up.
        """
        self._depth_seconds = depth_seconds
        self._level = _UNLIMITED
        self._missing: dict[str, float] = {}

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
            self._missing.clear()
            return
        gained = level * seconds
        most = (1 + _DEBT_PART) * self.depth
        self._missing = {
            account: min(tokens - gained, most)
            for account, tokens in self._missing.items()
            if tokens > gained
        }

    def take(self, account: str, tokens: float) -> None:
        """Takes tokens that an account was given.

        Args:
            account: Client account.
            tokens: Tokens; more than the bucket holds are a debt, less than none are given back.
        """
        self._missing[account] = max(self.count_missing(account) + tokens, 0.0)

    def count_missing(self, account: str) -> float:
        """Returns how many tokens the bucket of an account lacks.

        Args:
            account: Client account.

        Returns:
            Tokens; beyond the depth of the bucket they are a debt.
        """
        return self._missing.get(account, 0.0)
