"""Applies rows of the store's table of endpoints to the state of an entry instance."""

from collections.abc import Mapping, Sequence

import trio

from ..decisions.store_version import StoreVersion
from ..platform.endpoint_row import decode_endpoint
from ..platform.store_rows import Row
from .state import EntryState


def replace_endpoint_rows(
    state: EntryState, row_contents: Mapping[str, bytes], version: StoreVersion
) -> None:
    """Replaces the list of endpoints by the full table.

    Args:
        state: State to update.
        row_contents: Content of every row of the table by its key.
        version: Version of the store that the table was read at.
    """
    decoded = [decode_endpoint(key, content) for key, content in row_contents.items()]
    endpoints = [endpoint for endpoint in decoded if endpoint is not None]
    state.member_rows = {
        endpoint.identifier: row_contents[endpoint.identifier] for endpoint in endpoints
    }
    state.members.replace(endpoints, trio.current_time(), era=version.era)
    state.members_version = version
    state.has_endpoint_list = True
    state.update_endpoints()


def change_endpoint_rows(state: EntryState, rows: Sequence[Row], era: int) -> None:
    """Applies changed rows of the table of endpoints.

    Args:
        state: State to update.
        rows: Changed rows in order. Those not newer than the list of endpoints are ignored; rows
            with number zero, whose version is not known, always apply.
        era: Era of the store that the rows were read in.
    """
    for row in rows:
        version = StoreVersion(era, row.number)
        if row.number and version <= state.members_version:
            continue
        _change_endpoint(state, row)
        state.members_version = max(state.members_version, version)
    state.update_endpoints()


def _change_endpoint(state: EntryState, row: Row) -> None:
    """Applies a changed row; one that was removed or is not valid removes the endpoint."""
    now = trio.current_time()
    endpoint = None if row.content is None else decode_endpoint(row.key, row.content)
    if endpoint is None or row.content is None:
        state.member_rows.pop(row.key, None)
        state.members.remove(row.key, now)
        return
    state.member_rows[row.key] = row.content
    state.members.put(endpoint, now)
