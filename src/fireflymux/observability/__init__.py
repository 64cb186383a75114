"""Logs, metrics, traces, and the story of a request told from logs."""
