"""Stand-ins for what the system meets: the platform, model engines, services and callers."""
