"""Adapter to the platform of the entry role: its header fields, stored rows and store API.

It only translates formats; decisions are made in `fireflymux.decisions`.
"""
