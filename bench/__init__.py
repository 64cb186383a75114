"""Benchmarks of cost, latency and fairness; the usual ones are targets of the Makefile."""
