"""Measures fairness gap, utilisation and control traffic of several scheduling methods.

Run as `python -m bench.fairness [--ways a,b] [--seconds N] [--seed N] [--json] [--grow]`. The
methods (`way`) are naive routers, the unpatched program (`chosen`) and variants of it.
"""

import sys
from collections.abc import Sequence

import attrs
import fire
import orjson
import trio

from bench.deployment import (
    NEW_ENGLAND,
    NZ_NORTH,
    Deployment,
    Shape,
    build_backlogged_loads,
    start,
)
from emulator.load import Load, fairness_gap, utilisation

GROWING_SHAPES = (
    Shape(name='small', routers=2, domains=2, engines=3, accounts=8),
    Shape(name='middle', routers=4, domains=4, engines=6, accounts=16),
    Shape(name='large', routers=6, domains=6, engines=12, accounts=32),
)
WAYS = (
    'naive',
    'chosen',
    'no_prediction',
    'charge_at_end',
    'no_estimate',
    'own_totals',
    'first_come',
)
_WARM_UP_SECONDS = 4.0


@attrs.define(frozen=True, kw_only=True)
class Measurement:
    """One row of the table.

    Attributes:
        shape: Name of the deployment.
        way: Scheduling method.
        gap: Fairness gap in cost units for weight one.
        bound: Upper bound of the gap in the same units.
        utilisation: Fraction of the slot time that was busy.
        control_bytes_per_router: Bytes of control traffic per router and second.
        answered: Number of complete answers.
        refused: Number of failed requests.
        first_token_p95: 95th percentile of the time to the first token in seconds.
    """

    shape: str
    way: str
    gap: float
    bound: float
    utilisation: float
    control_bytes_per_router: float
    answered: int
    refused: int
    first_token_p95: float


def bound(shape: Shape, largest_cost: float, *, report_seconds: float, rate: float) -> float:
    """Returns the upper bound of the fairness gap in cost units for weight one.

    It is the sum of one request of unforeseen cost in every slot, one more request of each of the
    two compared accounts, and the service of the fleet in two report intervals, which a report
    takes from a sidecar to a router and on to the other sidecars.

    Args:
        shape: Sizes of the deployment.
        largest_cost: Cost of the largest request.
        report_seconds: Interval between two exchanges of totals.
        rate: Cost units that the whole fleet serves per second.
    """
    slots = shape.engines * shape.slots
    return largest_cost * (slots + 2) + 2 * report_seconds * rate


def control_bytes(deployment: Deployment) -> float:
    """Returns the bytes of control traffic of all routers so far."""
    return sum(
        deployment.fleet.metric(router, 'control_bytes_total') for router in deployment.routers
    )


def measure(shape: Shape, way: str, *, seconds: float, seed: int) -> Measurement:
    """Measures one scheduling method on one deployment.

    Args:
        shape: Sizes of the deployment.
        way: Scheduling method, as in `bench.deployment.start`.
        seconds: Length of the run.
        seed: Seed of the random costs.
    """
    deployment = start(shape, way)
    with deployment.fleet:
        loads = build_backlogged_loads(deployment)
        load = Load(loads, deployment.engines, seed=seed, model='model')
        result = trio.run(load.run, seconds)
        control_rate = 0.0 if way == 'naive' else control_bytes(deployment) / seconds
    first_token_seconds = sorted(result.first_token_seconds) or [0.0]
    return Measurement(
        shape=shape.name,
        way=way,
        gap=fairness_gap(result, deployment.weights, start=_WARM_UP_SECONDS),
        bound=bound(shape, 35 * 3, report_seconds=5.0, rate=shape.engines * shape.slots * 20),
        utilisation=utilisation(result, shape.engines * shape.slots, start=_WARM_UP_SECONDS),
        control_bytes_per_router=control_rate / shape.routers,
        answered=sum(result.answered.values()),
        refused=sum(result.refused.values()),
        first_token_p95=first_token_seconds[int(len(first_token_seconds) * 0.95)],
    )


def print_rows(rows: Sequence[Measurement]) -> None:
    """Prints the rows as a table with a header."""
    print(
        f'{"deployment":<14}{"way":<16}{"gap":>8}{"bound":>8}{"util":>7}'
        f'{"ctl B/s":>9}{"answers":>9}{"refused":>9}'
    )
    for row in rows:
        print(
            f'{row.shape:<14}{row.way:<16}{row.gap:>8.0f}{row.bound:>8.0f}'
            f'{row.utilisation:>7.3f}{row.control_bytes_per_router:>9.0f}'
            f'{row.answered:>9}{row.refused:>9}'
        )


def main(
    ways: str | tuple[str, ...] = WAYS,
    seconds: float = 30.0,
    seed: int = 1,
    json: bool = False,
    grow: bool = False,
) -> None:
    """Measures each scheduling method on each deployment.

    Args:
        ways: Comma-separated scheduling methods.
        seconds: Length of each run.
        seed: Seed of the random costs.
        json: Whether to print the rows as JSON as well.
        grow: Whether to measure deployments of increasing size instead of the two existing ones.
    """
    names = ways.split(',') if isinstance(ways, str) else ways
    rows = []
    for shape in GROWING_SHAPES if grow else (NEW_ENGLAND, NZ_NORTH):
        for way in names:
            rows.append(measure(shape, way, seconds=seconds, seed=seed))
            print_rows(rows[-1:])
            sys.stdout.flush()
    print_rows(rows)
    if json:
        print(orjson.dumps([attrs.asdict(row) for row in rows]).decode())


if __name__ == '__main__':
    fire.Fire(main)
