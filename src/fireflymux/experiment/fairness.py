"""How evenly accounts that want more than they get are served, window by window."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .callers import CallerResult
from .plan import LoadTerms

#: Length of a window, in whole seconds.
WINDOW_SECONDS = 6


@attrs.define
class _AccountSecond:
    """Tokens of one account in one second.

    Attributes:
        asked: Tokens of the prompts and answers that its callers asked for first.
        got: Tokens of those that began to be answered.
        lacks: Whether one of the former was refused or late.
    """

    asked: int = 0
    got: int = 0
    lacks: bool = False


_Seconds = defaultdict[int, _AccountSecond]


def find_least_share(callers: Sequence[CallerResult], loads: Mapping[str, LoadTerms]) -> float:
    """Finds how much less than another account one was served that wanted as much.

    Looks at each window and each account that lacks something in every second of it. What it got
    is compared with what it asked for or the best served account got, second by second,
    whichever is less.

    Args:
        callers: What callers got.
        loads: The loads by name.

    Returns:
        The least part over all windows and accounts; 1 if no account lacks anything for so long.
    """
    accounts = _collect(callers, loads)
    last = max((max(seconds) for seconds in accounts.values()), default=0)
    least = 1.0
    for first in range(last - WINDOW_SECONDS + 2):
        window = range(first, first + WINDOW_SECONDS)
        best = _find_best(accounts.values(), window)
        for seconds in accounts.values():
            if seconds is best or not all(seconds[second].lacks for second in window):
                continue
            least = min(least, _measure_part(seconds, best, window))
    return least


def _find_best(accounts: Iterable[_Seconds], window: range) -> _Seconds:
    return max(accounts, key=lambda seconds: _sum_got(seconds, window))


def _measure_part(seconds: _Seconds, best: _Seconds, window: range) -> float:
    due = sum(min(seconds[second].asked, best[second].got) for second in window)
    return _sum_got(seconds, window) / due if due else 1.0


def _sum_got(seconds: _Seconds, window: range) -> int:
    return sum(seconds[second].got for second in window)


def _collect(
    callers: Sequence[CallerResult], loads: Mapping[str, LoadTerms]
) -> dict[int, _Seconds]:
    accounts: defaultdict[int, _Seconds]
    accounts = defaultdict(lambda: defaultdict(_AccountSecond))
    for caller in callers:
        prompt = caller.prompt
        cost = prompt.tokens + 2 * prompt.output_tokens
        seconds = accounts[prompt.account]
        sent = seconds[int(prompt.at)]
        sent.asked += cost
        sent.lacks |= caller.refusals > 0 or not caller.is_on_time(loads[prompt.load])
        if caller.is_whole:
            seconds[int(prompt.at + caller.first_seconds)].got += cost
    return accounts
