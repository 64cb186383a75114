"""Adapter to the platform of the entry role: its header fields, stored rows and store API.

It translates formats and, in `store`, calls the store: with pooled connections, long polls and
a check of the store's era. Decisions are made in `fireflymux.decisions`. This platform is not
the one of routers and sidecars, whose clients are in the package `store`.
"""
