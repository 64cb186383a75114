"""Logs, metrics and traces, and reports that are built from the logs."""
