"""Summarizes the simulations of each policy, and compares policies over the same seeds."""

import statistics
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from .callers import CallerResult
from .fairness import find_least_share
from .plan import ExperimentPlan
from .simulation import SimulationResult

_MAXIMUM_MILLISECONDS = 60000
_SIGNIFICANT_DIGITS = 3
_MILLISECONDS_PER_SECOND = 1000.0
_PERCENT = 100.0
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 95


@attrs.define(frozen=True, kw_only=True)
class Summary:
    """Summary of one policy over all seeds.

    Attributes:
        policy: Name of the policy.
        on_time: Percentage of requests answered on time.
        on_time_by_load: Percentage of requests answered on time, for each load.
        worst_account: Percentage of requests answered on time, for the account with the lowest.
        least_share: Smallest share that an account received of the service that it was due, as a
            percentage; see `find_least_share`.
        whole: Percentage of requests that received a complete response.
        refused: Number of refusals as a percentage of the number of requests; above 100 if
            requests are refused more than once on average.
        median_milliseconds: Median time to the first event of the complete responses.
        tail_milliseconds: 95th percentile of the time to the first event of the complete
            responses.
        reread: Tokens of shared prompt parts as a percentage of the tokens that engines read.
        busy: Percentage of the time in which engines were busy.
        gain: Mean difference of `on_time` from the first policy over the same seeds.
        gain_error: Standard error of `gain`; zero with one seed.
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


def summarize(plan: ExperimentPlan, simulations: Sequence[SimulationResult]) -> list[Summary]:
    """Summarizes each policy.

    Args:
        plan: The experiment.
        simulations: Results of all simulations; each policy has the same seeds.

    Returns:
        One summary for each policy, in the order of the plan.
    """
    simulations_by_policy = {
        name: [simulation for simulation in simulations if simulation.policy == name]
        for name in plan.policies
    }
    baseline_simulations = simulations_by_policy[next(iter(plan.policies))]
    baseline = [
        _on_time_percentage(plan, simulation.callers) for simulation in baseline_simulations
    ]
    return [
        _summarize(plan, name, policy_simulations, baseline)
        for name, policy_simulations in simulations_by_policy.items()
    ]


def _summarize(
    plan: ExperimentPlan,
    name: str,
    simulations: Sequence[SimulationResult],
    baseline: Sequence[float],
) -> Summary:
    caller_results = [result for simulation in simulations for result in simulation.callers]
    on_time_by_seed = [_on_time_percentage(plan, simulation.callers) for simulation in simulations]
    differences = [after - before for after, before in zip(on_time_by_seed, baseline, strict=True)]
    histogram = _build_latency_histogram(caller_results)
    return Summary(
        policy=name,
        on_time=statistics.fmean(on_time_by_seed),
        on_time_by_load={
            load: _on_time_percentage(
                plan, [result for result in caller_results if result.prompt.load == load]
            )
            for load in plan.loads
        },
        worst_account=min(_on_time_by_account(plan, caller_results)),
        least_share=_PERCENT
        * min(find_least_share(simulation.callers, plan.loads) for simulation in simulations),
        whole=_percentage([result.is_whole for result in caller_results]),
        refused=_PERCENT
        * sum(result.refusals for result in caller_results)
        / max(len(caller_results), 1),
        median_milliseconds=histogram.get_value_at_percentile(_MEDIAN_PERCENTILE),
        tail_milliseconds=histogram.get_value_at_percentile(_TAIL_PERCENTILE),
        reread=_PERCENT
        * sum(simulation.reread_tokens for simulation in simulations)
        / max(sum(simulation.read_tokens for simulation in simulations), 1),
        busy=_PERCENT * statistics.fmean(simulation.busy_fraction for simulation in simulations),
        gain=statistics.fmean(differences),
        gain_error=statistics.stdev(differences) / len(differences) ** 0.5
        if len(differences) > 1
        else 0.0,
    )


def to_rows(summaries: Sequence[Summary]) -> list[dict[str, Any]]:
    """Formats summaries as rows of a table, with one column for each load."""
    rows = []
    for summary in summaries:
        row: dict[str, Any] = {}
        for name, figure in attrs.asdict(summary).items():
            if name == 'on_time_by_load':
                row.update(
                    {load: '{0:.1f}'.format(percentage) for load, percentage in figure.items()}
                )
                continue
            row[name] = figure if isinstance(figure, str) else '{0:.1f}'.format(figure)
        rows.append(row)
    return rows


def on_time_by_second(
    plan: ExperimentPlan, simulations: Sequence[SimulationResult]
) -> list[float]:
    """Returns the percentage on time of the requests first sent in each second.

    Seconds without requests are left out.
    """
    results_by_second: list[list[CallerResult]] = [[] for _ in range(int(plan.fleet.seconds) + 1)]
    for simulation in simulations:
        for result in simulation.callers:
            results_by_second[int(result.prompt.at)].append(result)
    return [
        _on_time_percentage(plan, caller_results)
        for caller_results in results_by_second
        if caller_results
    ]


def _build_latency_histogram(caller_results: Sequence[CallerResult]) -> HdrHistogram:
    histogram = HdrHistogram(1, _MAXIMUM_MILLISECONDS, _SIGNIFICANT_DIGITS)
    for result in caller_results:
        if result.is_whole:
            histogram.record_value(
                max(int(result.first_event_seconds * _MILLISECONDS_PER_SECOND), 1)
            )
    return histogram


def _on_time_by_account(
    plan: ExperimentPlan, caller_results: Sequence[CallerResult]
) -> list[float]:
    results_by_account: dict[int, list[CallerResult]] = {}
    for result in caller_results:
        results_by_account.setdefault(result.prompt.account, []).append(result)
    return [
        _on_time_percentage(plan, caller_results) for caller_results in results_by_account.values()
    ] or [0.0]


def _on_time_percentage(plan: ExperimentPlan, caller_results: Sequence[CallerResult]) -> float:
    return _percentage(
        [result.is_on_time(plan.loads[result.prompt.load]) for result in caller_results]
    )


def _percentage(flags: Sequence[bool]) -> float:
    return _PERCENT * sum(flags) / max(len(flags), 1)
