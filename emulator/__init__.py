"""Emulated environment of the system: the platform, model engines, services and callers."""
