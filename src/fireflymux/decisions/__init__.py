"""Scheduling, admission, retry and membership decisions of routers, sidecars and entry instances.

The modules do no I/O. Time comes in as an argument or through a clock that the caller passes in,
so that tests can run every decision on simulated time.
"""
