"""Shows that each proof fails when its mechanism is left out.

Runs one scenario with each variant and prints a row: the scenario must fail. In-process
scenarios load the variant through `features/environment.py`.
"""

import os
import re
import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_ROWS = (
    ('naive', 'Backlogged accounts stay within the bound and no slot idles'),
    ('first_come', 'The smallest account gets its share while the largest one floods a router'),
    ('no_floor', 'An account returns from an idle time without accumulated credit'),
    (
        'no_floor',
        'An account that used little of its share has no later claim to the unused part',
    ),
    ('no_read_back', "The claim's answer is lost after the write took effect"),
    ('no_claim', 'The table is down'),
    ('no_claim', 'The family repeats the call while it runs'),
    ('no_claim', 'Router and sidecar die together while the call runs'),
    ('no_claim', 'Many callers repeat their calls under kills, freezes and outages'),
    ('no_resume', 'The sidecar dies while it streams and another takes its address'),
    ('no_end_marker', 'The engine crashes while it streams'),
    (
        'no_end_marker',
        'Responses to concurrent chats are never mixed up under freezes and crashes',
    ),
    (
        'no_confirmation',
        'A run order waits in the socket of a frozen sidecar whose endpoint leaves',
    ),
    ('no_drain', 'A sidecar stops as planned'),
    ('no_drain', 'A router stops as planned'),
    ('no_peers', 'The table is down and a router restarts with no memory'),
    ('any_version', 'A stale peer offers an older version'),
    ('any_version', 'Changes that arrive late, twice and out of order'),
    ('no_limits', 'The rate limit holds for all routers together'),
    ('no_limits', 'The concurrency limit holds for all routers together'),
    ('no_pause', 'An unreachable endpoint is avoided without a retry storm'),
    ('no_verdicts', 'A request crashes each endpoint that runs it and its caller sends it again'),
    ('no_lock', 'A successor waits for a frozen sidecar if the engine ignores fencing tokens'),
    ('no_stall', 'A stream that brings bytes but no event ends when callers give up'),
    ('no_stall', 'A resumable stream that brings no event goes on at another endpoint'),
    (
        'no_generation',
        'A request that is answered between its breaks is not taken for one that crashes',
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
    ('no_wishes', 'An endpoint that says in an answer that it leaves gets nothing more'),
    ('no_wishes', 'The other instances hear that an endpoint leaves'),
    ('no_wishes', 'An endpoint that asked for a rest gets nothing until it is over'),
    ('no_wishes', 'A service whose every endpoint rests is refused at once'),
    (
        'no_last_look',
        'A request that was placed before its endpoint asked for a rest goes elsewhere',
    ),
    ('no_bounds', 'Bytes without an end are no answer -- @1.2 '),
    ('no_bounds', 'Bytes without an end are no answer -- @1.5 '),
    ('no_bounds', 'Bytes without an end are no answer -- @1.6 '),
    ('no_bounds', 'An event without an end ends the stream, which does not look whole'),
    ('no_bounds', 'What follows a whole answer without an end reaches nobody -- @1.2 '),
    ('windowed_shares', 'What an account was given while others were idle is no debt'),
    (
        'windowed_shares',
        'An account that used spare capacity keeps its share once others are busy too',
    ),
    ('any_report', 'Datagrams that arrive in any order replace no newer report'),
    ('any_report', 'Reports from before a restart replace no later ones'),
)


def run(variant: str, scenario: str) -> tuple[bool, str]:
    """Runs a scenario with a variant; returns whether it failed, and why."""
    done = subprocess.run(
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
        for line in done.stdout.splitlines()
        if 'ASSERT FAILED' in line or 'Error:' in line or line.startswith('gap ')
    ]
    summary = done.stdout.rpartition('scenario')[2]
    failed = done.returncode != 0 and ('1 failed' in summary or '1 error' in summary)
    return failed, '; '.join(lines[:2])


def main(variants: list[str]) -> int:
    """Prints a row for each proof, or for those of some variants; returns the exit code."""
    green = []
    rows = [row for row in _ROWS if not variants or row[0] in variants]
    for variant, scenario in rows:
        failed, why = run(variant, scenario)
        print(
            '{0} | {1} | {2} | {3}'.format(
                'red' if failed else 'GREEN',
                variant,
                scenario,
                why,
            ),
            flush=True,
        )
        if not failed:
            green.append(scenario)
    print('{0} red, {1} not red'.format(len(rows) - len(green), len(green)))
    return 1 if green else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
