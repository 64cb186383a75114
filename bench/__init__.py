"""Benchmarks, each run by one make target."""
