"""Clients of the platform services of routers and sidecars, and the configuration stored there.

The services are a table service, an object store and a list of live instances, to which the
deployment's own settings point. This platform is not the one that the package `platform` adapts:
that one serves the entry role, and has a store API and header fields of its own.
"""
