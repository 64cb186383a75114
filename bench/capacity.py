"""Extrapolates measured costs to the target size of the system, for docs/CAPACITY.md.

Run `python -m bench.slopes > slopes.json` first, then `python -m bench.capacity slopes.json`.
Prints a Markdown table with one row for each figure: its value at the target size, and whether it
is within its budget.
"""

from pathlib import Path
from typing import Any

import fire
import orjson

# Target size. Each model server or service has one sidecar.
ROUTERS = 340
SERVERS = 3700
POOLS = 13
REQUESTS_PER_SECOND = 14000
TOKENS_PER_SECOND = 5.3e6
ACCOUNTS = 3300
BACKLOGGED_ACCOUNTS = 330
CONFIG_CHANGES_PER_DAY = 21000
INSTANCES_REPLACED_PER_DAY = 32 + 520
SECONDS_PER_DAY = 86400

# Settings that the figures assume.
# At least ROUTERS_PER_SIDECAR routers follow each sidecar, and each router follows at least
# RESERVATION_FANOUT sidecars of each pool. A router exchanges heartbeats with those it follows.
ROUTERS_PER_SIDECAR = 8
RESERVATION_FANOUT = 4
HEARTBEAT_INTERVAL_SECONDS = 1.0
TOTALS_INTERVAL_SECONDS = 5.0
CONFIG_POLL_INTERVAL_SECONDS = 1.0

# Budgets: for each router and sidecar, the processor time and bytes per second of one kind of
# control traffic, and the memory; for the table service, operations per second of the whole
# system; for callers, the time to the first token.
CORE_PERCENT_BUDGET = 2.2
MEMORY_MB_BUDGET = 128
CONTROL_BYTES_BUDGET = 5000
TABLE_WRITES_BUDGET = 300
TABLE_READS_BUDGET = 2000
FIRST_TOKEN_MS_BUDGET = 1000


def _format_row(role: str, figure: str, value: float, budget: float | None, unit: str) -> str:
    verdict = '-' if budget is None else 'holds' if value <= budget else '**does not hold yet**'
    limit = '-' if budget is None else f'{budget:g}'
    return f'| {role} | {figure} | {value:,.4g} {unit} | {limit} | {verdict} |'


def _evaluate_fit(fit: dict[str, Any], size: float) -> float:
    """Returns the value of a fitted line at a size."""
    return float(fit['base'] + fit['slope'] * size)


def sidecars_per_router() -> float:
    """Returns the average number of sidecars that a router follows.

    It is one of the first ROUTERS_PER_SIDECAR routers of some sidecars, which it follows for that
    reason. It also follows RESERVATION_FANOUT sidecars of each pool, some of which are already
    counted.
    """
    followed_for_sidecars = SERVERS * ROUTERS_PER_SIDECAR / ROUTERS
    return followed_for_sidecars + RESERVATION_FANOUT * POOLS * (1 - ROUTERS_PER_SIDECAR / ROUTERS)


def rows(slopes: dict[str, Any]) -> list[str]:
    """Returns the rows of the table.

    Args:
        slopes: Output of `bench.slopes`.
    """
    state, idle, path = slopes['state'], slopes['idle'], slopes['path']
    sidecars = sidecars_per_router()
    routers_per_sidecar = sidecars * ROUTERS / SERVERS
    return [
        *_router_rows(state, idle, path, sidecars),
        *_sidecar_rows(state, idle, path, routers_per_sidecar),
        *_platform_rows(slopes),
    ]


def _router_rows(
    state: dict[str, Any], idle: dict[str, Any], path: dict[str, Any], sidecars: float
) -> list[str]:
    requests = REQUESTS_PER_SECOND / ROUTERS
    tokens = TOKENS_PER_SECOND / ROUTERS
    data_microseconds = requests * path['router_us_per_request_token_alone']
    data_microseconds += tokens * path['router_us_per_token_alone']
    exchange_microseconds = (
        state['decode_heartbeat_us_by_accounts']['base']
        + state['decode_heartbeat_us_by_accounts']['slope'] * BACKLOGGED_ACCOUNTS
        + _evaluate_fit(state['sum_totals_us_by_reporters_of_330_accounts'], SERVERS)
    )
    table_bytes = _evaluate_fit(
        state['heartbeat_with_totals_bytes_by_accounts'], BACKLOGGED_ACCOUNTS
    )
    heartbeat_percent = (
        _evaluate_fit(idle['router_core_percent_by_sidecars'], sidecars)
        / HEARTBEAT_INTERVAL_SECONDS
    )
    # 1e4 microseconds of processor time per second are 1 % of a core.
    totals_percent = sidecars / TOTALS_INTERVAL_SECONDS * exchange_microseconds / 1e4
    memory_mb = (
        _evaluate_fit(idle['router_mb_by_sidecars'], sidecars)
        + _evaluate_fit(state['configuration_mb_by_contracts'], ACCOUNTS)
        + _evaluate_fit(state['totals_mb_by_reporters_of_330_accounts'], SERVERS)
    )
    heartbeat_bytes = (
        _evaluate_fit(idle['router_control_bytes_per_second_by_sidecars'], sidecars)
        / HEARTBEAT_INTERVAL_SECONDS
    )
    return [
        _format_row('router', 'sidecars followed', sidecars, None, ''),
        _format_row('router', 'requests', requests, None, 'a second'),
        _format_row('router', 'tokens', tokens, None, 'a second'),
        _format_row(
            'router', 'processor time for requests and tokens', data_microseconds / 1e6, 1, 'cores'
        ),
        _format_row(
            'router',
            'processor time for heartbeats',
            heartbeat_percent,
            CORE_PERCENT_BUDGET,
            '% of a core',
        ),
        _format_row(
            'router',
            'processor time for totals',
            totals_percent,
            CORE_PERCENT_BUDGET,
            '% of a core',
        ),
        _format_row('router', 'bytes of heartbeats', heartbeat_bytes, CONTROL_BYTES_BUDGET, 'B/s'),
        _format_row(
            'router',
            'bytes of totals with sidecars',
            2 * sidecars / TOTALS_INTERVAL_SECONDS * table_bytes,
            CONTROL_BYTES_BUDGET,
            'B/s',
        ),
        _format_row(
            'router',
            'bytes of totals from one router',
            SERVERS * table_bytes / TOTALS_INTERVAL_SECONDS,
            CONTROL_BYTES_BUDGET,
            'B/s',
        ),
        _format_row('router', 'memory without requests', memory_mb, MEMORY_MB_BUDGET, 'MB'),
        _format_row(
            'router',
            'added to the first token, p95, no load',
            path['added_ms']['p95'],
            FIRST_TOKEN_MS_BUDGET,
            'ms',
        ),
    ]


def _sidecar_rows(
    state: dict[str, Any], idle: dict[str, Any], path: dict[str, Any], routers: float
) -> list[str]:
    requests = REQUESTS_PER_SECOND / SERVERS
    tokens = TOKENS_PER_SECOND / SERVERS
    data_microseconds = requests * path['sidecar_us_per_request_token_alone']
    data_microseconds += tokens * path['sidecar_us_per_token_alone']
    choice_percent = (
        requests * _evaluate_fit(state['choose_account_us_by_accounts'], BACKLOGGED_ACCOUNTS) / 1e4
    )
    bytes_per_router = idle['router_control_bytes_per_second_by_sidecars']['slope']
    table_bytes = _evaluate_fit(
        state['heartbeat_with_totals_bytes_by_accounts'], BACKLOGGED_ACCOUNTS
    )
    return [
        _format_row('sidecar', 'routers heard', routers, None, ''),
        _format_row(
            'sidecar',
            'processor time for requests and tokens',
            data_microseconds / 1e6,
            1,
            'cores',
        ),
        _format_row(
            'sidecar',
            'processor time for heartbeats',
            _evaluate_fit(idle['sidecar_core_percent_by_routers'], routers)
            / HEARTBEAT_INTERVAL_SECONDS,
            CORE_PERCENT_BUDGET,
            '% of a core',
        ),
        _format_row(
            'sidecar', 'choice of accounts', choice_percent, CORE_PERCENT_BUDGET, '% of a core'
        ),
        _format_row(
            'sidecar',
            'bytes of heartbeats',
            bytes_per_router * routers / HEARTBEAT_INTERVAL_SECONDS,
            CONTROL_BYTES_BUDGET,
            'B/s',
        ),
        _format_row(
            'sidecar',
            'bytes of totals',
            2 * routers / TOTALS_INTERVAL_SECONDS * table_bytes,
            CONTROL_BYTES_BUDGET,
            'B/s',
        ),
        _format_row(
            'sidecar',
            'memory after the load of the path',
            path['sidecar_mb'],
            MEMORY_MB_BUDGET,
            'MB',
        ),
    ]


def _platform_rows(slopes: dict[str, Any]) -> list[str]:
    # A snapshot is written every 64 versions; see store/config_commit.py.
    changes_per_second = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    reads_per_second = ROUTERS / CONFIG_POLL_INTERVAL_SECONDS + ROUTERS * changes_per_second
    transactions_alone = slopes['claims'][0]['transactions_per_call']
    transactions_batched = slopes['claims'][-1]['transactions_per_call']
    snapshot_bytes = _evaluate_fit(
        slopes['state']['configuration_snapshot_bytes_by_contracts'], ACCOUNTS
    )
    return [
        _format_row(
            'table',
            'reads for the configuration',
            reads_per_second,
            TABLE_READS_BUDGET,
            'a second',
        ),
        _format_row(
            'table',
            'writes for the configuration',
            changes_per_second,
            TABLE_WRITES_BUDGET,
            'a second',
        ),
        _format_row(
            'table',
            'keyed calls within the write budget, each sidecar one at a time',
            TABLE_WRITES_BUDGET / transactions_alone,
            None,
            'a second',
        ),
        _format_row(
            'table',
            'keyed calls within the write budget, 32 at once on each sidecar',
            TABLE_WRITES_BUDGET / transactions_batched,
            None,
            'a second',
        ),
        _format_row(
            'object store', 'snapshot of the configuration', snapshot_bytes / 1e6, None, 'MB'
        ),
        _format_row('object store', 'snapshots', changes_per_second / 64 * 3600, None, 'an hour'),
        _format_row('live list', 'reads', ROUTERS / 1.0, TABLE_READS_BUDGET, 'a second'),
        _format_row(
            'all', 'instances replaced or failed', INSTANCES_REPLACED_PER_DAY / 24, None, 'an hour'
        ),
    ]


def main(file: str) -> None:
    """Prints the table of figures at the target size.

    Args:
        file: Output of `python -m bench.slopes`.
    """
    slopes = orjson.loads(Path(file).read_bytes())
    print('| role | figure | at the target | budget | verdict |')
    print('| --- | --- | --- | --- | --- |')
    for row in rows(slopes):
        print(row)


if __name__ == '__main__':
    fire.Fire(main)
