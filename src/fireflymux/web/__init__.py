"""HTTP servers and clients of routers and sidecars, based on Quart, Hypercorn and HTTPX."""
