"""The router role: queues requests by client account and dispatches them to sidecars."""
