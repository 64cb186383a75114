"""Unpacks the version in production from the repository's history, to run it beside the new one.

The commit is named by `production` in the deploy file, as for the platform.
"""

import atexit
import io
import os
import shutil
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'


class BuildUnavailable(Exception):
    """The version in production cannot be taken from the history of this clone."""


def read_production_commit() -> str:
    """Returns the commit that the deploy file names as the version in production."""
    return str(tomllib.loads(_DEPLOY_FILE.read_text())['production'])


def unpack_commit(commit: str, folder: Path) -> None:
    """Unpacks the program as it was at a commit.

    Args:
        commit: The commit.
        folder: Folder that gets its `src`.

    Raises:
        BuildUnavailable: The history of this clone lacks the commit, or it runs another program.
    """
    archive = subprocess.run(
        ['git', 'archive', '--format=tar', commit, 'src'], cwd=ROOT, capture_output=True
    )
    if archive.returncode:
        raise BuildUnavailable(
            'commit {0}, the version in production, is not in the history of this clone: {1}; '
            'clone with full history, or run `git fetch --unshallow`'.format(
                commit, archive.stderr.decode(errors='replace').strip()
            )
        )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as unpacked:
        unpacked.extractall(folder, filter='data')
    _check_program(folder)


@cache
def unpack_production() -> Path:
    """Unpacks the version in production once for this process, and removes it when that ends.

    Returns:
        The folder with its `src`.

    Raises:
        BuildUnavailable: See `unpack_commit`.
    """
    folder = Path(tempfile.mkdtemp(prefix='fireflymux-production-'))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    unpack_commit(read_production_commit(), folder)
    return folder


def _check_program(folder: Path) -> None:
    """Checks that Python runs the program in a folder rather than the one that is installed."""
    found = subprocess.run(
        [sys.executable, '-c', 'import fireflymux; print(fireflymux.__file__)'],
        cwd=folder,
        env=os.environ | {'PYTHONPATH': str(folder / 'src')},
        capture_output=True,
        text=True,
    )
    if not found.stdout.startswith(str(folder)):
        raise BuildUnavailable(
            'Python runs {0} instead of {1}: {2}'.format(found.stdout, folder, found.stderr)
        )
