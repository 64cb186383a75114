"""Token buckets of client accounts, refilled at the max-min fair level.

While capacity covers all demand, every bucket is full: an idle account saves up no more credit
than one full bucket, and an account that used spare capacity owes nothing for it. Accounts that
are busy one after the other are therefore treated alike. Once capacity is short, all buckets
refill at the same rate, and accounts that demand more than that rate drain theirs.
"""

#: Largest debt that is left to an account after a refill, as a multiple of the bucket depth. Until
#: the next refill, `take` can exceed it.
_MAXIMUM_DEBT = 1.0
_UNLIMITED = float('inf')


class AccountBuckets:
    """One bucket for each account, all of the same depth.

    The depth is proportional to the fair level, the rate at which the buckets refill. Only the
    deficits are stored: accounts without an entry have a full bucket.
    """

    def __init__(self, depth_seconds: float) -> None:
        """Creates full buckets with an unlimited level.

        Args:
            depth_seconds: Time in which an empty bucket refills.
        """
        self._depth_seconds = depth_seconds
        self._level = _UNLIMITED
        self._deficits: dict[str, float] = {}

    @property
    def depth(self) -> float:
        """Tokens in a full bucket; infinite while capacity covers all demand."""
        return self._depth_seconds * self._level

    def refill(self, level: float, seconds: float) -> None:
        """Refills the buckets.

        Args:
            level: Refill rate in tokens per second; infinite while capacity covers all demand,
                which clears all deficits.
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
        """Takes tokens out of the bucket of an account.

        Args:
            account: Client account.
            tokens: Tokens to take, more than the bucket holds if need be; the debt is bounded
                only at the next refill. A negative number puts tokens back.
        """
        self._deficits[account] = max(self.deficit_of(account) + tokens, 0.0)

    def deficit_of(self, account: str) -> float:
        """Returns how many tokens the bucket of an account lacks to be full.

        Args:
            account: Client account.

        Returns:
            Tokens; more than the depth of the bucket means that the account is in debt.
        """
        return self._deficits.get(account, 0.0)
