"""Works the target's figures out from measured slopes, for docs/CAPACITY.md.

Run as `python -m bench.slopes > slopes.json` and `python -m bench.capacity slopes.json`.
Prints one row for each figure: role, figure, at the target, budget, verdict.
"""

from pathlib import Path
from typing import Any

import fire
import orjson

# The target of the users' letter.
ROUTERS = 340
SERVERS = 3700
POOLS = 13
REQUESTS_PER_SECOND = 14000
TOKENS_PER_SECOND = 5.3e6
ACCOUNTS = 3300
BACKLOGGED = 330
CHANGES_PER_DAY = 21000
REPLACED_PER_DAY = 32 + 520
SECONDS_PER_DAY = 86400

# Settings that the figures assume.
ROUTERS_PER_SIDECAR = 8
FANOUT = 4
HEARTBEAT_SECONDS = 1.0
TOTALS_SECONDS = 5.0
CONFIG_POLL_SECONDS = 1.0

# Budgets of the letter and the brief.
CORE_PERCENT = 2.2
MEMORY_MB = 128
CONTROL_BYTES = 5000
TABLE_WRITES = 300
TABLE_READS = 2000
FIRST_TOKEN_MS = 1000


def _row(role: str, figure: str, found: float, budget: float | None, unit: str) -> str:
    verdict = '-' if budget is None else 'holds' if found <= budget else '**does not hold yet**'
    limit = '-' if budget is None else f'{budget:g}'
    return f'| {role} | {figure} | {found:,.4g} {unit} | {limit} | {verdict} |'


def _line(fit: dict[str, Any], size: float) -> float:
    return float(fit['base'] + fit['slope'] * size)


def peers_of_router() -> float:
    """Returns how many sidecars a router follows."""
    chosen_by_sidecars = SERVERS * ROUTERS_PER_SIDECAR / ROUTERS
    return chosen_by_sidecars + FANOUT * POOLS * (1 - ROUTERS_PER_SIDECAR / ROUTERS)


def rows(slopes: dict[str, Any]) -> list[str]:
    """Returns the rows of the table."""
    state, idle, path = slopes['state'], slopes['idle'], slopes['path']
    peers = peers_of_router()
    routers = peers * ROUTERS / SERVERS
    return [
        *_router_rows(state, idle, path, peers),
        *_sidecar_rows(state, idle, path, routers),
        *_platform_rows(slopes),
    ]


def _router_rows(
    state: dict[str, Any], idle: dict[str, Any], path: dict[str, Any], peers: float
) -> list[str]:
    requests = REQUESTS_PER_SECOND / ROUTERS
    tokens = TOKENS_PER_SECOND / ROUTERS
    data = requests * path['router_us_per_request_token_alone']
    data += tokens * path['router_us_per_token_alone']
    exchange = (
        state['decode_heartbeat_us_by_accounts']['base']
        + state['decode_heartbeat_us_by_accounts']['slope'] * BACKLOGGED
        + _line(state['sum_totals_us_by_reporters_of_330_accounts'], SERVERS)
    )
    table_bytes = _line(state['heartbeat_with_totals_bytes_by_accounts'], BACKLOGGED)
    control = _line(idle['router_core_percent_by_sidecars'], peers) / HEARTBEAT_SECONDS
    totals = peers / TOTALS_SECONDS * exchange / 1e4
    memory = (
        _line(idle['router_mb_by_sidecars'], peers)
        + _line(state['configuration_mb_by_contracts'], ACCOUNTS)
        + _line(state['totals_mb_by_reporters_of_330_accounts'], SERVERS)
    )
    beats = _line(idle['router_control_bytes_per_second_by_sidecars'], peers) / HEARTBEAT_SECONDS
    return [
        _row('router', 'sidecars followed', peers, None, ''),
        _row('router', 'requests', requests, None, 'a second'),
        _row('router', 'tokens', tokens, None, 'a second'),
        _row('router', 'processor time for requests and tokens', data / 1e6, 1, 'cores'),
        _row('router', 'processor time for heartbeats', control, CORE_PERCENT, '% of a core'),
        _row('router', 'processor time for totals', totals, CORE_PERCENT, '% of a core'),
        _row('router', 'bytes of heartbeats', beats, CONTROL_BYTES, 'B/s'),
        _row(
            'router',
            'bytes of totals with sidecars',
            2 * peers / TOTALS_SECONDS * table_bytes,
            CONTROL_BYTES,
            'B/s',
        ),
        _row(
            'router',
            'bytes of totals from one router',
            SERVERS * table_bytes / TOTALS_SECONDS,
            CONTROL_BYTES,
            'B/s',
        ),
        _row('router', 'memory without requests', memory, MEMORY_MB, 'MB'),
        _row(
            'router',
            'added to the first token, p95, no load',
            path['added_ms']['p95'],
            FIRST_TOKEN_MS,
            'ms',
        ),
    ]


def _sidecar_rows(
    state: dict[str, Any], idle: dict[str, Any], path: dict[str, Any], routers: float
) -> list[str]:
    requests = REQUESTS_PER_SECOND / SERVERS
    tokens = TOKENS_PER_SECOND / SERVERS
    data = requests * path['sidecar_us_per_request_token_alone']
    data += tokens * path['sidecar_us_per_token_alone']
    choose = requests * _line(state['choose_account_us_by_accounts'], BACKLOGGED) / 1e4
    per_peer = idle['router_control_bytes_per_second_by_sidecars']['slope']
    table_bytes = _line(state['heartbeat_with_totals_bytes_by_accounts'], BACKLOGGED)
    return [
        _row('sidecar', 'routers heard', routers, None, ''),
        _row('sidecar', 'processor time for requests and tokens', data / 1e6, 1, 'cores'),
        _row(
            'sidecar',
            'processor time for heartbeats',
            _line(idle['sidecar_core_percent_by_routers'], routers) / HEARTBEAT_SECONDS,
            CORE_PERCENT,
            '% of a core',
        ),
        _row('sidecar', 'choice of accounts', choose, CORE_PERCENT, '% of a core'),
        _row(
            'sidecar',
            'bytes of heartbeats',
            per_peer * routers / HEARTBEAT_SECONDS,
            CONTROL_BYTES,
            'B/s',
        ),
        _row(
            'sidecar',
            'bytes of totals',
            2 * routers / TOTALS_SECONDS * table_bytes,
            CONTROL_BYTES,
            'B/s',
        ),
        _row('sidecar', 'memory after the load of the path', path['sidecar_mb'], MEMORY_MB, 'MB'),
    ]


def _platform_rows(slopes: dict[str, Any]) -> list[str]:
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    reads = ROUTERS / CONFIG_POLL_SECONDS + ROUTERS * changes
    alone = slopes['claims'][0]['transactions_per_call']
    together = slopes['claims'][-1]['transactions_per_call']
    snapshot = _line(slopes['state']['configuration_snapshot_bytes_by_contracts'], ACCOUNTS)
    return [
        _row('table', 'reads for the configuration', reads, TABLE_READS, 'a second'),
        _row('table', 'writes for the configuration', changes, TABLE_WRITES, 'a second'),
        _row(
            'table',
            'keyed calls within the write budget, each sidecar one at a time',
            TABLE_WRITES / alone,
            None,
            'a second',
        ),
        _row(
            'table',
            'keyed calls within the write budget, 32 at once on each sidecar',
            TABLE_WRITES / together,
            None,
            'a second',
        ),
        _row('object store', 'snapshot of the configuration', snapshot / 1e6, None, 'MB'),
        _row('object store', 'snapshots', changes / 64 * 3600, None, 'an hour'),
        _row('live list', 'reads', ROUTERS / 1.0, TABLE_READS, 'a second'),
        _row('all', 'instances replaced or failed', REPLACED_PER_DAY / 24, None, 'an hour'),
    ]


def main(file: str) -> None:
    """Prints the table.

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
