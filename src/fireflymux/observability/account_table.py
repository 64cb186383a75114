"""Sums the placed and refused work of each client account by second, from log lines."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs

from .explain import LogLine

#: Number of accounts shown if none is named.
_DEFAULT_ACCOUNT_COUNT = 8
#: The table shows tokens in thousands.
_TOKENS_PER_UNIT = 1000


@attrs.define
class AccountSecond:
    """Placed and refused requests of one account in one second.

    Attributes:
        given_tokens: Cost in tokens of the requests that were placed.
        refused_tokens: Cost in tokens of the requests that were refused, counted again for each
            refusal of a retried request.
        refusals: Requests that were refused.
        returns: Refused requests that were retries of refused requests.
        over: Requests that were refused while the account had used up its share.
        full_home: Requests that were refused although the predicted wait on some engine was
            within the limit, because it was not on the engine that they prefer.
    """

    given_tokens: int = 0
    refused_tokens: int = 0
    refusals: int = 0
    returns: int = 0
    over: int = 0
    full_home: int = 0

    def add_refusal(self, details: dict[str, Any]) -> None:
        """Counts a refused request, given the fields of its `request_not_placed` line."""
        self.refused_tokens += details.get('cost', 0)
        self.refusals += 1
        self.returns += bool(details.get('came_back'))
        self.over += bool(details.get('over'))
        limit = details.get('limit', 0)
        preferred = details.get('preferred')
        has_free_engine = details.get('predicted', limit) < limit
        self.full_home += has_free_engine and preferred is not None and preferred >= limit


def tabulate_accounts(
    lines: Iterable[LogLine], accounts: Iterable[str] = ()
) -> list[dict[str, Any]]:
    """Builds a table with one row for each account and second.

    Args:
        lines: Log lines of all processes.
        accounts: Accounts to show; by default those with the most refused tokens.

    Returns:
        The rows, grouped by account and sorted by time; tokens are in thousands.
    """
    seconds_by_account: defaultdict[str, defaultdict[datetime, AccountSecond]]
    seconds_by_account = defaultdict(lambda: defaultdict(AccountSecond))
    refused_tokens_by_account: Counter[str] = Counter()
    for line in lines:
        account = line.details.get('account')
        if not account:
            continue
        entry = seconds_by_account[account][line.time.replace(microsecond=0)]
        if line.event == 'request_placed':
            entry.given_tokens += line.details.get('cost', 0)
        elif line.event == 'request_not_placed':
            entry.add_refusal(line.details)
            refused_tokens_by_account[account] += line.details.get('cost', 0)
    shown_accounts = list(accounts) or [
        name for name, _ in refused_tokens_by_account.most_common(_DEFAULT_ACCOUNT_COUNT)
    ]
    return [
        _to_row(account, second, entry)
        for account in shown_accounts
        for second, entry in sorted(seconds_by_account[account].items())
    ]


def _to_row(account: str, second: datetime, entry: AccountSecond) -> dict[str, Any]:
    return {
        'account': account,
        'second': '{0:%H:%M:%S}'.format(second),
        'given_k': round(entry.given_tokens / _TOKENS_PER_UNIT),
        'refused_k': round(entry.refused_tokens / _TOKENS_PER_UNIT),
        'refusals': entry.refusals,
        'returns': entry.returns,
        'over': entry.over,
        'full_home': entry.full_home,
    }
