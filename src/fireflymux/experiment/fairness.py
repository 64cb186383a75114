"""Measures how evenly accounts are served that request more than they receive."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .callers import CallerResult
from .plan import LoadTerms

#: Length of the windows over which accounts are compared, in whole seconds.
WINDOW_SECONDS = 6


@attrs.define
class _AccountSecond:
    """Tokens of one account in one second, with prompts and responses weighted by cost.

    Attributes:
        requested_tokens: Cost of the requests that were first sent in this second.
        served_tokens: Cost of the completed requests whose first event came in this second.
        is_underserved: Whether a request first sent in this second was refused or not on time.
    """

    requested_tokens: int = 0
    served_tokens: int = 0
    is_underserved: bool = False


_AccountTimeline = defaultdict[int, _AccountSecond]


def find_least_share(
    caller_results: Sequence[CallerResult], loads: Mapping[str, LoadTerms]
) -> float:
    """Finds the smallest share that an account received of the service that it was due.

    Considers each window of `WINDOW_SECONDS`, and in it each account that is underserved in every
    second, except the one that is served most. In each second, an account is due the tokens that
    it requested, but no more than the account that is served most in the window received.

    Args:
        caller_results: Results of all prompts.
        loads: The loads by name.

    Returns:
        The smallest ratio of served to due tokens over all windows and accounts; 1 if no account
        is underserved for a whole window.
    """
    timelines = _group_by_account(caller_results, loads)
    last_second = max((max(timeline) for timeline in timelines.values()), default=0)
    least_share = 1.0
    for first_second in range(last_second - WINDOW_SECONDS + 2):
        window = range(first_second, first_second + WINDOW_SECONDS)
        most_served = _find_most_served(timelines.values(), window)
        for timeline in timelines.values():
            if timeline is most_served or not all(
                timeline[second].is_underserved for second in window
            ):
                continue
            least_share = min(least_share, _compute_share(timeline, most_served, window))
    return least_share


def _find_most_served(timelines: Iterable[_AccountTimeline], window: range) -> _AccountTimeline:
    return max(timelines, key=lambda timeline: _sum_served(timeline, window))


def _compute_share(
    timeline: _AccountTimeline, most_served: _AccountTimeline, window: range
) -> float:
    due_tokens = sum(
        min(timeline[second].requested_tokens, most_served[second].served_tokens)
        for second in window
    )
    return _sum_served(timeline, window) / due_tokens if due_tokens else 1.0


def _sum_served(timeline: _AccountTimeline, window: range) -> int:
    return sum(timeline[second].served_tokens for second in window)


def _group_by_account(
    caller_results: Sequence[CallerResult], loads: Mapping[str, LoadTerms]
) -> dict[int, _AccountTimeline]:
    timelines: defaultdict[int, _AccountTimeline]
    timelines = defaultdict(lambda: defaultdict(_AccountSecond))
    for result in caller_results:
        prompt = result.prompt
        # The cost that `WaitingRequest.cost_tokens` charges.
        cost_tokens = prompt.tokens + 2 * prompt.output_tokens
        timeline = timelines[prompt.account]
        sent_second = timeline[int(prompt.at)]
        sent_second.requested_tokens += cost_tokens
        sent_second.is_underserved |= result.refusals > 0 or not result.is_on_time(
            loads[prompt.load]
        )
        if result.is_whole:
            timeline[int(prompt.at + result.first_event_seconds)].served_tokens += cost_tokens
    return timelines
