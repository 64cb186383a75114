"""Runs the features with behave and prints `N passed, N failed` as the last line.

Scenarios listed in KNOWN-RED.txt are run and their results are printed, but their failures do not
count. A line of that file that begins with `scenario: ` names such a scenario. One that begins
with `bench: ` names a run of an external benchmark that is known to fail. It is printed, but not
run here.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_SCENARIO_PREFIX = 'scenario: '
_BENCH_PREFIX = 'bench: '


def read_known_red(prefix: str = _SCENARIO_PREFIX) -> set[str]:
    """Returns the entries of KNOWN-RED.txt whose lines begin with a prefix."""
    lines = (_ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def collect(report: list[dict]) -> dict[str, bool]:
    """Returns whether each scenario passed, by name.

    Args:
        report: Report of behave in JSON format. Skipped scenarios are left out.
    """
    scenarios = {}
    for feature in report:
        for element in feature.get('elements', ()):
            if element['type'] != 'background' and element.get('status') != 'skipped':
                scenarios[element['name'].strip()] = element.get('status') == 'passed'
    return scenarios


def main(arguments: list[str]) -> int:
    """Runs the features and returns the exit code.

    Args:
        arguments: Arguments for behave; empty to run all features.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        process = subprocess.run(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-capture',
                '--format',
                'json',
                '--outfile',
                str(report),
                '--format',
                'progress3',
                *(arguments or ['features']),
            ],
            cwd=_ROOT,
        )
        text = report.read_text() if report.exists() else ''
    scenarios = collect(json.loads(text)) if text.strip() else {}
    known_red = read_known_red()
    failed = sorted(name for name, passed in scenarios.items() if not passed)
    for name in sorted(known_red):
        state = {None: 'not run', True: 'passed', False: 'failed'}[scenarios.get(name)]
        print('known red: {0}: {1}'.format(name, state))
    for name in sorted(read_known_red(_BENCH_PREFIX)):
        print('known red: {0}: not run here'.format(name))
    unexpected = [name for name in failed if name not in known_red]
    for name in unexpected:
        print('failed: {0}'.format(name))
    passed = sum(scenarios.values())
    if not scenarios and process.returncode:
        unexpected = ['behave did not run']
    print('{0} passed, {1} failed'.format(passed, len(unexpected)))
    return 1 if unexpected or not scenarios else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
