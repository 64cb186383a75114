"""Decisions of an entry instance: no network, and time only as an argument."""
