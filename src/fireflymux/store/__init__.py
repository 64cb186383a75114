"""Clients of the platform services of routers and sidecars, and the configuration stored there.

The services are a table service, an object store and a list of live instances.
"""
