"""HTTP between routers, sidecars and their callers, by quart, hypercorn and httpx."""
