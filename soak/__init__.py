"""Soak test: runs entry instances as processes, injects faults and checks their guarantees.

`plan` derives the faults of a run from its seed, `faults` injects them into a
testbed, `callers` sends requests meanwhile, and `checks` examines the recorded `history`.
"""
