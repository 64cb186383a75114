"""Runs the command line as `python -m fireflymux`."""

from .cli import main

main()
