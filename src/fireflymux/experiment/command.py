"""The command `fireflymux experiment`."""

import attrs
import logbook
import orjson
import plotext

from ..console import EXIT_USAGE, exit_with_error, print_line, print_table
from ..settings import SettingsError
from .plan import ExperimentPlan
from .simulation import SimulationResult, simulate
from .summary import on_time_by_second, summarize, to_rows

_PLOT_COLUMNS = 100
_PLOT_ROWS = 24


def run_experiment(path: str, *, as_json: bool, has_plot: bool) -> None:
    """Simulates every policy of an experiment on the same seeds and prints a summary of each.

    Args:
        path: Path of the INI file.
        as_json: Whether to print JSON instead of a table.
        has_plot: Whether to plot the percentage of requests on time in each second.
    """
    try:
        plan = ExperimentPlan.from_file(path)
    except SettingsError as error:
        exit_with_error(str(error), EXIT_USAGE)
        raise
    with logbook.NullHandler().applicationbound():
        simulations = [
            simulate(plan, name, seed)
            for seed in range(1, plan.fleet.seeds + 1)
            for name in plan.policies
        ]
    summaries = summarize(plan, simulations)
    if as_json:
        print_line(orjson.dumps([attrs.asdict(summary) for summary in summaries]).decode())
    else:
        print_table(to_rows(summaries))
    if has_plot:
        print_line(_plot(plan, simulations))


def _plot(plan: ExperimentPlan, simulations: list[SimulationResult]) -> str:
    plotext.clear_figure()
    plotext.theme('clear')
    plotext.plotsize(_PLOT_COLUMNS, _PLOT_ROWS)
    plotext.title('percentage of requests on time by second')
    plotext.ylim(0, 100)
    for name in plan.policies:
        policy_simulations = [
            simulation for simulation in simulations if simulation.policy == name
        ]
        plotext.plot(on_time_by_second(plan, policy_simulations), label=name)
    return plotext.build()
