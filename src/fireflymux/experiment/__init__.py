"""Simulates entry instances under load, in simulated time and without a network."""
