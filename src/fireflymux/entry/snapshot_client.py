"""Fetches snapshots of the store's tables from other instances."""

from urllib.parse import urlencode

import msgspec
import trio

from .._messages_generated import EntrySnapshot
from ..bounded_values import check_integer
from ..http.client_connection import ClientConnection, ConnectFailed, ConnectionBroken
from ..observability.logs import get_logger
from .state import EntryState

_log = get_logger(__name__)
SNAPSHOT_PATH = b'/v1/snapshot'
#: Query parameters with the versions that the requesting instance has; the response leaves out the
#: tables that are not newer.
CONFIG_KEY = 'config_version'
ERA_KEY = 'members_era'
MEMBERS_KEY = 'members_version'
#: Query parameter by which the requesting instance asks for evacuations; instances that do not know
#: them cannot decode a snapshot with them.
EVACUATIONS_KEY = 'evacuations'
_TIMEOUT_SECONDS = 1.0
_MAXIMUM_SNAPSHOT_BYTES = 16777216
_DECODER = msgspec.json.Decoder(EntrySnapshot)


async def fetch_snapshot(state: EntryState, host: str) -> EntrySnapshot | None:
    """Fetches the snapshot of an instance.

    Args:
        state: State of the requesting instance.
        host: IP address of the other one.

    Returns:
        The snapshot, without the tables that are not newer; None if it could not be fetched, which
        is logged with the reason.
    """
    try:
        with trio.fail_after(_TIMEOUT_SECONDS):
            content = await _request_snapshot(state, host)
        return _decode_snapshot(content)
    except (ConnectFailed, ConnectionBroken, trio.TooSlowError) as error:
        _log.info('snapshot_not_fetched', host=host, reason=repr(error))
    except ValueError as error:
        _log.warning('snapshot_malformed', host=host, reason=repr(error))
    return None


async def _request_snapshot(state: EntryState, host: str) -> bytes:
    connection = await ClientConnection.open(
        host, state.settings.peer_port, timeout_seconds=_TIMEOUT_SECONDS
    )
    try:
        versions = {
            CONFIG_KEY: state.configuration_version,
            ERA_KEY: state.members_version.era,
            MEMBERS_KEY: state.members_version.number,
            EVACUATIONS_KEY: 1,
        }
        target = b'%b?%b' % (SNAPSHOT_PATH, urlencode(versions).encode())
        await connection.send(b'GET %b HTTP/1.1' % target, [(b'Host', host.encode())], b'')
        response = await connection.next_response()
        return await connection.read_full_body(response, _MAXIMUM_SNAPSHOT_BYTES)
    finally:
        connection.close()


def _decode_snapshot(content: bytes) -> EntrySnapshot:
    """Decodes a snapshot; members that it does not know are left out.

    Args:
        content: JSON content of a response.

    Returns:
        The snapshot.

    Raises:
        ValueError: A member has another type, or a version is out of range.
    """
    try:
        snapshot = _DECODER.decode(content)
    except RecursionError as error:
        raise ValueError('the snapshot is nested too deeply') from error
    for version in (
        snapshot.config_version,
        snapshot.members_era,
        snapshot.members_version,
        snapshot.op_era,
        snapshot.op_version,
    ):
        check_integer(version)
    return snapshot
