"""Runs the command line from a checkout whose libraries are on Python's path."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from fireflymux.cli import main  # noqa: E402

main()
