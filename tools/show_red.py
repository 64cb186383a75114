"""Checks that scenarios fail when the mechanism that they test is disabled.

Runs each scenario of a list with a variant from `emulator.variants`, or with naive routers, and
prints a row: `red` if the scenario fails as expected, `GREEN` if it passes. Routers and sidecars
are started with the variant, and `features/environment.py` applies it to scenarios that run in the
process of behave.

Run as `python tools/show_red.py [VARIANT...]`; without a variant, all rows run.
"""

import os
import re
import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
#: Variant, and name of the scenario that must fail with it. For an example of a scenario outline,
#: the name ends with the numbers that behave appends.
_ROWS = (
    ('naive', 'Backlogged accounts stay within the bound and no slot idles'),
    ('first_come', 'The smallest account gets its share while the largest one floods a router'),
    ('no_floor', 'An account returns from an idle time without accumulated credit'),
    (
        'no_floor',
        'An account that used little of its share has no later claim to the unused part',
    ),
    ('no_read_back', "The table's response to a claim is lost after the write took effect"),
    ('no_claim', 'The table is down'),
    ('no_claim', 'A caller repeats the call while it runs'),
    ('no_claim', 'The router and the sidecar are killed while the call runs'),
    ('no_claim', 'Many callers repeat their calls during freezes and outages'),
    ('no_resume', 'The sidecar dies while it streams and another takes its address'),
    ('no_end_marker', 'The engine crashes while it streams'),
    (
        'no_end_marker',
        'Responses to concurrent chats are never mixed up under freezes and crashes',
    ),
    (
        'no_confirmation',
        'A run order waits in the socket of a frozen sidecar whose endpoint is leaving',
    ),
    ('no_drain', 'A sidecar shuts down gracefully'),
    ('no_drain', 'A router shuts down gracefully'),
    ('no_peers', 'A router starts without a stored configuration while the table is down'),
    ('any_version', 'A stale peer offers an older version'),
    ('any_version', 'Changes that arrive late, twice and out of order'),
    ('no_limits', 'The rate limit holds for all routers together'),
    ('no_limits', 'The concurrency limit holds for all routers together'),
    ('no_pause', 'An unreachable endpoint is avoided without a retry storm'),
    ('no_verdicts', 'A request crashes each endpoint that runs it and its caller sends it again'),
    ('no_lock', 'A successor waits for a frozen sidecar if the engine ignores fencing tokens'),
    ('no_stall', 'A stream that sends bytes but no event is ended when callers give up waiting'),
    ('no_stall', 'A resumable stream that sends no event is resumed at another endpoint'),
    (
        'no_generation',
        'A request that is answered between broken attempts does not count as crashing endpoints',
    ),
    (
        'forget_departures',
        'An endpoint that left stays out of use although the restored copy still lists it',
    ),
    (
        'forget_departures',
        'An endpoint that disappeared stays out of use until its entry in the copy would have expired',
    ),
    ('no_era', 'Writes after the store was restored are followed -- @1.3 '),
    (
        'no_era',
        'An instance that the store turns away learns from another that the store was restored',
    ),
    ('no_era', 'An instance whose row is missing from the copy registers again'),
    ('no_era', 'A late response from before the store was restored changes nothing'),
    ('no_wishes', 'An endpoint that says in a response that it is leaving gets no more requests'),
    ('no_wishes', 'The other instances are told that an endpoint is leaving'),
    (
        'no_wishes',
        'An endpoint that requested a backoff gets no requests until the backoff is over',
    ),
    (
        'no_wishes',
        'Requests to a service are refused at once during the backoffs of all its endpoints',
    ),
    (
        'no_last_look',
        'A request whose endpoint requests a backoff after the placement goes to another endpoint',
    ),
    ('no_bounds', 'An endless response is rejected -- @1.2 '),
    ('no_bounds', 'An endless response is rejected -- @1.5 '),
    ('no_bounds', 'An endless response is rejected -- @1.6 '),
    ('no_bounds', 'A stream with an endless event ends and does not look complete'),
    ('no_bounds', 'Endless data after a complete response reaches no caller -- @1.2 '),
    (
        'second_head',
        'A stream that broke off gets nothing of an answer that does not resume it -- @1.1 ',
    ),
    (
        'any_rest',
        'A stream that broke off gets nothing of an answer that does not resume it -- @1.5 ',
    ),
    (
        'any_connection',
        'A refusal that is written again sends no request that runs to a second endpoint',
    ),
    (
        'any_connection',
        'A success that is written again is not taken for the answer to another request -- @1.1 ',
    ),
    (
        'windowed_shares',
        'Capacity used while other accounts were idle does not count against an account later',
    ),
    (
        'windowed_shares',
        'An account that used spare capacity keeps its share once others are busy too',
    ),
    ('any_report', 'Datagrams that arrive in any order replace no newer report'),
    ('any_report', 'Reports from before a restart replace no later ones'),
    ('no_warmup', 'The bound of an endpoint holds whichever instances hear of each other'),
    ('no_warmup', 'A failure domain whose endpoints come back cold under load'),
    (
        'no_warmup',
        'An endpoint that says in a response that it is warming up is spared by all instances',
    ),
    ('own_warmup', 'The bound of an endpoint holds whichever instances hear of each other'),
    (
        'no_evacuation',
        'Nothing reaches an evacuated failure domain until the evacuation is taken back',
    ),
    (
        'no_notices',
        'Nothing reaches an evacuated failure domain until the evacuation is taken back',
    ),
    (
        'no_evacuation',
        'An evacuation holds although the store was restored from a copy without it',
    ),
    ('no_evacuation', 'An instance that starts while the store is away learns of an evacuation'),
    (
        'no_regions',
        'Requests with regions go to endpoints of these regions only -- @1.3 ',
    ),
    (
        'no_regions',
        'Requests with regions go to endpoints of these regions only -- @1.5 ',
    ),
    (
        'early_continue',
        'The caller of a pipelined request is told to continue only after the response before it',
    ),
)


def run(variant: str, scenario: str) -> tuple[bool, str]:
    """Runs a scenario with a variant; returns whether it failed, and its first error messages."""
    process = subprocess.run(
        [
            sys.executable,
            '-m',
            'behave',
            '--no-capture',
            '--format',
            'plain',
            '--name',
            f'^{re.escape(scenario)}$',
            'features',
        ],
        cwd=_ROOT,
        env={**os.environ, 'FIREFLYMUX_VARIANT': variant},
        capture_output=True,
        text=True,
        timeout=300,
    )
    lines = [
        line.strip()[:150]
        for line in process.stdout.splitlines()
        if 'ASSERT FAILED' in line or 'Error:' in line or line.startswith('gap ')
    ]
    summary = process.stdout.rpartition('scenario')[2]
    failed = process.returncode != 0 and ('1 failed' in summary or '1 error' in summary)
    return failed, '; '.join(lines[:2])


def main(variants: list[str]) -> int:
    """Prints a row for each scenario, or for those of some variants; returns the exit code."""
    unexpected_passes = []
    rows = [row for row in _ROWS if not variants or row[0] in variants]
    for variant, scenario in rows:
        failed, reason = run(variant, scenario)
        print(
            '{0} | {1} | {2} | {3}'.format(
                'red' if failed else 'GREEN',
                variant,
                scenario,
                reason,
            ),
            flush=True,
        )
        if not failed:
            unexpected_passes.append(scenario)
    print(
        '{0} red, {1} not red'.format(len(rows) - len(unexpected_passes), len(unexpected_passes))
    )
    return 1 if unexpected_passes else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
