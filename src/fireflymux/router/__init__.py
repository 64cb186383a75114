"""The router role: queues of client accounts, and the way to a sidecar and back."""
