"""Figures of the plays of one policy, and differences between policies over the same seeds."""

import statistics
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from .callers import CallerResult
from .fairness import find_least_share
from .plan import ExperimentPlan
from .play import Play

_MOST_MILLISECONDS = 60000
_DIGITS = 3
_MILLISECONDS = 1000.0
_PERCENT = 100.0
_MEDIAN = 50
_TAIL = 95


@attrs.define(frozen=True, kw_only=True)
class Summary:
    """Figures of one policy over all seeds.

    Attributes:
        policy: Its name.
        on_time: Percentage of requests answered on time.
        on_time_by_load: The same for each load.
        worst_account: The same for the account that fares worst.
        least_share: Percentage that an account got, in its worst window, of what the best served
            one got that wanted no more.
        whole: Percentage of requests answered at all.
        refused: Refusals for each hundred requests.
        median_milliseconds: Time to the first event that half of the answers keep.
        tail_milliseconds: The same for 95 in 100.
        reread: Shared tokens that engines read, of each hundred tokens that they read.
        busy: Percentage of the time in which engines had work.
        gain: Mean difference of `on_time` from the first policy over the same seeds.
        gain_error: Standard error of that difference; zero with one seed.
    """

    policy: str
    on_time: float
    on_time_by_load: Mapping[str, float]
    worst_account: float
    least_share: float
    whole: float
    refused: float
    median_milliseconds: float
    tail_milliseconds: float
    reread: float
    busy: float
    gain: float
    gain_error: float


def summarize(plan: ExperimentPlan, plays: Sequence[Play]) -> list[Summary]:
    """Works out the figures of each policy.

    Args:
        plan: The experiment.
        plays: Every play; each policy has the same seeds.

    Returns:
        One summary for each policy, in the order of the plan.
    """
    by_policy = {name: [item for item in plays if item.policy == name] for name in plan.policies}
    first = by_policy[next(iter(plan.policies))]
    base = [_on_time(plan, item.callers) for item in first]
    return [_summarize(plan, name, found, base) for name, found in by_policy.items()]


def _summarize(
    plan: ExperimentPlan, name: str, plays: Sequence[Play], base: Sequence[float]
) -> Summary:
    entries = [entry for item in plays for entry in item.callers]
    own = [_on_time(plan, item.callers) for item in plays]
    gains = [after - before for after, before in zip(own, base, strict=True)]
    histogram = _collect(entries)
    return Summary(
        policy=name,
        on_time=statistics.fmean(own),
        on_time_by_load={
            load: _on_time(plan, [entry for entry in entries if entry.prompt.load == load])
            for load in plan.loads
        },
        worst_account=min(_by_account(plan, entries)),
        least_share=_PERCENT * min(find_least_share(item.callers, plan.loads) for item in plays),
        whole=_percentage([entry.is_whole for entry in entries]),
        refused=_PERCENT * sum(entry.refusals for entry in entries) / max(len(entries), 1),
        median_milliseconds=histogram.get_value_at_percentile(_MEDIAN),
        tail_milliseconds=histogram.get_value_at_percentile(_TAIL),
        reread=_PERCENT
        * sum(item.reread_tokens for item in plays)
        / max(sum(item.read_tokens for item in plays), 1),
        busy=_PERCENT * statistics.fmean(item.busy_part for item in plays),
        gain=statistics.fmean(gains),
        gain_error=statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0,
    )


def to_rows(summaries: Sequence[Summary]) -> list[dict[str, Any]]:
    """Returns the figures as rows of a table for people."""
    rows = []
    for summary in summaries:
        row: dict[str, Any] = {}
        for name, figure in attrs.asdict(summary).items():
            if name == 'on_time_by_load':
                row.update({load: '{0:.1f}'.format(part) for load, part in figure.items()})
                continue
            row[name] = figure if isinstance(figure, str) else '{0:.1f}'.format(figure)
        rows.append(row)
    return rows


def on_time_by_second(plan: ExperimentPlan, plays: Sequence[Play]) -> list[float]:
    """Returns the percentage on time of the requests sent in each second."""
    seconds: list[list[CallerResult]] = [[] for _ in range(int(plan.fleet.seconds) + 1)]
    for item in plays:
        for entry in item.callers:
            seconds[int(entry.prompt.at)].append(entry)
    return [_on_time(plan, entries) for entries in seconds if entries]


def _collect(entries: Sequence[CallerResult]) -> HdrHistogram:
    histogram = HdrHistogram(1, _MOST_MILLISECONDS, _DIGITS)
    for entry in entries:
        if entry.is_whole:
            histogram.record_value(max(int(entry.first_seconds * _MILLISECONDS), 1))
    return histogram


def _by_account(plan: ExperimentPlan, entries: Sequence[CallerResult]) -> list[float]:
    by_account: dict[int, list[CallerResult]] = {}
    for entry in entries:
        by_account.setdefault(entry.prompt.account, []).append(entry)
    return [_on_time(plan, entries) for entries in by_account.values()] or [0.0]


def _on_time(plan: ExperimentPlan, entries: Sequence[CallerResult]) -> float:
    return _percentage([entry.is_on_time(plan.loads[entry.prompt.load]) for entry in entries])


def _percentage(found: Sequence[bool]) -> float:
    return _PERCENT * sum(found) / max(len(found), 1)
