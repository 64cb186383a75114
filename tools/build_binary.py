"""Builds the executable file dist/fireflymux and checks that it runs as a single process.

The file is a zip application. At its first start it unpacks its libraries into the folder named
by SHIV_ROOT, which must be memory-backed on instances without disks. It then runs in the same
process.
"""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_TARGET = _ROOT / 'dist' / 'fireflymux'


def build() -> None:
    """Builds the executable file."""
    _TARGET.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            str(Path(sys.executable).parent / 'shiv'),
            '--console-script',
            'fireflymux',
            '--output-file',
            str(_TARGET),
            '--python',
            '/usr/bin/env python3.11',
            '--no-modify',
            '--quiet',
            str(_ROOT),
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )


def _write_settings(folder: Path) -> Path:
    path = folder / 'router.ini'
    path.write_text(
        '[instance]\nname=proof\nfailure_domain=a\nlisten_host=127.0.0.1\nlisten_port=0\n'
        '[fleet]\nkey=a-key-for-this-proof\n'
        '[platform]\ntable_url=http://127.0.0.1:9\nobject_url=http://127.0.0.1:9\n'
        'live_url=http://127.0.0.1:9\n[router]\n'
    )
    return path


def _list_children(pid: int) -> list[int]:
    children = Path(f'/proc/{pid}/task/{pid}/children').read_text().split()
    return [int(child) for child in children]


def _measure_start(folder: Path) -> tuple[float, float, int, int]:
    """Starts the file as a router and stops it once it listens.

    Returns:
        Seconds until it listened, resident memory in MB, number of child processes, and exit code.
    """
    started_at = time.monotonic()
    process = subprocess.Popen(
        [str(_TARGET), 'router', str(_write_settings(folder))],
        stdout=subprocess.PIPE,
        env={**os.environ, 'SHIV_ROOT': str(folder), 'PYTHONPATH': '', 'PYTHONUNBUFFERED': '1'},
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    assert b'listening' in line, line
    seconds = time.monotonic() - started_at
    children = len(_list_children(process.pid))
    status = Path(f'/proc/{process.pid}/status').read_text()
    resident = int(status.partition('VmRSS:')[2].split()[0]) / 1024
    process.terminate()
    return seconds, resident, children, process.wait(20)


def main() -> int:
    """Builds the file, starts it twice and prints the measurements; returns the exit code.

    The first start unpacks the libraries, and the second one finds them.
    """
    build()
    print('size: {0:.1f} MB'.format(_TARGET.stat().st_size / 1e6))
    with tempfile.TemporaryDirectory() as folder:
        for name in ('first', 'second'):
            seconds, resident, children, code = _measure_start(Path(folder))
            print(
                '{0} start: {1:.2f} s, {2:.0f} MB resident, {3} child processes, exit {4}'.format(
                    name, seconds, resident, children, code
                )
            )
            if children or code:
                return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
