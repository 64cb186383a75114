"""Measures how costs grow with the size of the system, for docs/CAPACITY.md.

Run as `python -m bench.slopes`. Prints one JSON object. A cost that grows linearly is measured at
three or more sizes, and its result contains the points, base and slope of the fitted line, and the
largest residual relative to the largest value. `bench.capacity` extrapolates from this output.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import fire
import httpx
import orjson

from bench.deployment import POOL, Shape, start
from bench.path import measure as measure_path
from bench.probe import cpu_seconds, fit_line, resident_megabytes
from emulator.callers import call, run_concurrently
from emulator.small_fleet import start_small_fleet
from fireflymux.decisions.account_choice import choose_account
from fireflymux.decisions.account_shares import AccountShares
from fireflymux.decisions.service_totals import ServiceTotals
from fireflymux.messages import (
    ConfigChange,
    Contract,
    Heartbeat,
    ServiceTotal,
)
from fireflymux.store.configuration import Configuration
from fireflymux.web.credentials import compute_key_digest
from fireflymux.wire import codec
from fireflymux.wire.totals_table import pack_totals

_REPEATS = 5


def fit(points: Sequence[tuple[float, float]]) -> dict[str, Any]:
    """Fits a line to the points and returns it together with them."""
    base, slope, residual = fit_line(points)
    return {
        'points': [[x, float(f'{y:.4g}')] for x, y in points],
        'base': float(f'{base:.4g}'),
        'slope': float(f'{slope:.4g}'),
        'residual': round(residual, 3),
    }


def _microseconds(function: Callable[[], object], *, repeats: int = _REPEATS) -> float:
    """Returns the median processor time of a call in microseconds."""
    times = []
    for _ in range(repeats):
        started_at = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - started_at) / 1000)
    return sorted(times)[len(times) // 2]


def _megabytes(build: Callable[[], object]) -> float:
    """Returns the size in megabytes of the object that a function builds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del built
    return size


def _build_change(version: int) -> ConfigChange:
    contract = Contract(
        account=f'account-{version}',
        weight=1.0,
        rate_per_second=10.0,
        concurrency=10,
        queue_length=100,
        pools=['a-model', 'another-model'],
        key_digest=compute_key_digest('x'),
    )
    return ConfigChange(
        version=version, change_id=f'{version:032x}', operator='ops', contract=contract
    )


def _build_configuration(count: int) -> Configuration:
    configuration = Configuration()
    configuration.apply([_build_change(version) for version in range(1, count + 1)])
    return configuration


def _build_totals(accounts: int) -> list[ServiceTotal]:
    return [
        ServiceTotal(
            pool=POOL,
            account=f'account-{index}',
            settled=123456.0 + index,
            outstanding=50,
            floor=1000,
        )
        for index in range(accounts)
    ]


def _build_service_totals(reporters: int, accounts: int) -> ServiceTotals:
    totals = ServiceTotals(clock=lambda: 0.0)
    reported = _build_totals(accounts)
    for reporter in range(reporters):
        totals.merge(f'{reporter:032x}', reported)
    return totals


def _build_shares(accounts: int) -> AccountShares:
    shares = AccountShares(POOL, lambda _: 1.0, clock=lambda: 0.0, idle_seconds=5)
    shares.merge_others(_build_totals(accounts))
    for index in range(accounts):
        shares.open_charge(f'account-{index}')
    return shares


def measure_state() -> dict[str, Any]:
    """Measures in this process how the memory and processor time of the state grow."""
    contracts = (300, 1000, 3300)
    accounts = (30, 100, 330)
    reporters = (10, 40, 160)
    heartbeats = {
        size: codec.encode(
            Heartbeat(
                router='r' * 32,
                address='http://127.0.0.1:65535',
                config_version=1,
                sequence=1,
                totals=pack_totals(_build_totals(size)),
            )
        )
        for size in accounts
    }
    service_totals = {size: _build_service_totals(size, 330) for size in reporters}
    shares = {size: _build_shares(size) for size in accounts}
    return {
        'configuration_mb_by_contracts': fit(
            [(size, _megabytes(partial(_build_configuration, size))) for size in contracts]
        ),
        'configuration_snapshot_bytes_by_contracts': fit(
            [
                (size, len(codec.encode(_build_configuration(size).to_snapshot())))
                for size in contracts
            ]
        ),
        'change_bytes': len(codec.encode(_build_change(1))),
        'apply_change_us_by_contracts': fit(
            [
                (
                    size,
                    _microseconds(
                        partial(_build_configuration(size).apply, [_build_change(size + 1)])
                    ),
                )
                for size in contracts
            ]
        ),
        'totals_mb_by_reporters_of_330_accounts': fit(
            [(size, _megabytes(partial(_build_service_totals, size, 330))) for size in reporters]
        ),
        'sum_totals_us_by_reporters_of_330_accounts': fit(
            [
                (size, _microseconds(partial(service_totals[size].sum_without, 'none', POOL)))
                for size in reporters
            ]
        ),
        'heartbeat_with_totals_bytes_by_accounts': fit(
            [(size, len(content)) for size, content in heartbeats.items()]
        ),
        'decode_heartbeat_us_by_accounts': fit(
            [
                (size, _microseconds(partial(codec.decode, content, Heartbeat)))
                for size, content in heartbeats.items()
            ]
        ),
        'choose_account_us_by_accounts': fit(
            [
                (
                    size,
                    _microseconds(
                        partial(
                            choose_account,
                            [f'account-{index}' for index in range(size)],
                            shares[size].virtual_time,
                        )
                    ),
                )
                for size in accounts
            ]
        ),
    }


def measure_idle(seconds: float) -> dict[str, Any]:
    """Measures the cost of control traffic while there are no requests, by the number of peers.

    Args:
        seconds: Length of each measurement.
    """
    router_cpu, router_bytes, sidecar_cpu, router_memory = [], [], [], []
    for engines, routers in ((3, 1), (6, 2), (12, 4)):
        shape = Shape(name='idle', routers=routers, domains=1, engines=engines)
        deployment = start(shape, 'chosen')
        with deployment.fleet:
            time.sleep(3)
            before = _read_usage(deployment)
            time.sleep(seconds)
            after = _read_usage(deployment)
            usage = [b - a for a, b in zip(before, after, strict=True)]
            router_cpu.append((engines, usage[0] / routers / seconds * 100))
            router_bytes.append((engines, usage[1] / routers / seconds))
            sidecar_cpu.append((routers, usage[2] / engines / seconds * 100))
            router_memory.append((engines, resident_megabytes(deployment.routers[0])))
    return {
        'router_core_percent_by_sidecars': fit(router_cpu),
        'router_control_bytes_per_second_by_sidecars': fit(router_bytes),
        'sidecar_core_percent_by_routers': fit(sidecar_cpu),
        'router_mb_by_sidecars': fit(router_memory),
    }


def _read_usage(deployment: Any) -> tuple[float, float, float]:
    """Returns processor seconds and control bytes of routers, and sidecars' processor seconds."""
    control = sum(
        deployment.fleet.metric(router, 'control_bytes_total') for router in deployment.routers
    )
    return cpu_seconds(deployment.routers), control, cpu_seconds(deployment.sidecars)


def measure_claims() -> dict[str, Any]:
    """Measures the table's transactions and rows per call with an idempotency key.

    Concurrent calls of a sidecar share transactions.
    """
    points = []
    with start_small_fleet(services=1) as fleet:
        address = fleet.processes['router-0'].address
        for open_calls in (1, 8, 32):
            counts_before = httpx.get(f'{fleet.platform}/counts').json()
            calls = max(open_calls * 4, 16)

            def send(number: int, calls_in_turn: int = calls // open_calls) -> None:
                for index in range(calls_in_turn):
                    key = f'{open_calls}-{number}-{index}'
                    answer = call(
                        address, 'families', key=key, path='/services/bookings/reservations'
                    )
                    assert answer.status == 200, answer

            run_concurrently(open_calls, send)
            time.sleep(1)
            counts_after = httpx.get(f'{fleet.platform}/counts').json()
            points.append(
                {
                    'open_calls': open_calls,
                    'transactions_per_call': (
                        counts_after['transactions'] - counts_before['transactions']
                    )
                    / calls,
                    'rows_per_call': (counts_after['rows_written'] - counts_before['rows_written'])
                    / calls,
                }
            )
    return {'claims': points}


def main(idle_seconds: float = 15.0) -> None:
    """Prints all measurements as JSON.

    Args:
        idle_seconds: Length of each measurement without load.
    """
    result: dict[str, Any] = {'state': measure_state()}
    result['claims'] = measure_claims()['claims']
    result['idle'] = measure_idle(idle_seconds)
    result['path'] = measure_path()
    print(orjson.dumps(result, option=2).decode())


if __name__ == '__main__':
    fire.Fire(main)
