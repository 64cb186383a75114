"""Loads the configuration from the platform and commits changes to it.

A commit is a compare-and-set on the head row: one transaction writes the new head, provided that
it has not changed since it was read, and adds the row of the change. Snapshots in the object
store, written at regular versions, save a new replica from applying every change.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..messages import ConfigChange, ConfigHead, ConfigSnapshot
from ..observability.logs import get_logger
from ..wire import codec
from .config_rows import CHANGE_PREFIX, HEAD_KEY, change_key, change_version, snapshot_name
from .configuration import Configuration
from .contract_terms import limit_change, limit_snapshot
from .platform_client import (
    CommitResult,
    ObjectClient,
    PlatformClients,
    PlatformError,
    Put,
    Row,
    TableClient,
)

_log = get_logger(__name__)
#: A snapshot is stored of every version divisible by this number, just before the version that
#: follows it is committed.
_VERSIONS_PER_SNAPSHOT = 64
_MAXIMUM_ROWS_PER_READ = 1000
_MAXIMUM_ATTEMPTS = 8
_RETRY_DELAY_SECONDS = 0.2

#: Builds the next change from the newest configuration, or returns why it conflicts with it.
ChangeBuilder = Callable[[Configuration], 'ConfigChange | Conflict']


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was committed as this version and is permanent."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The contract or announcement was changed by someone else; nothing was committed.

    Attributes:
        current_version: Version of the item's newest change; zero if it does not exist.
        detail: One-line explanation.
    """

    current_version: int
    detail: str


@dataclass(frozen=True, slots=True)
class CommitUnknown:
    """No attempt was confirmed; the change may have been committed or not.

    It is also the outcome if the configuration changed during every attempt; if no attempt failed
    otherwise, nothing was committed.

    Attributes:
        change_id: Identifier of the change, by which it can be found in the table.
        detail: One-line explanation.
    """

    change_id: str
    detail: str


async def load_configuration(
    table: TableClient, objects: ObjectClient, target: Configuration
) -> None:
    """Updates a replica to the newest committed version, or as far towards it as rows are found.

    A change that cannot be read counts as one that changes nothing, so that the later ones apply.
    If the row of the next change is missing, the replica stays at an older version without an
    error. The caller can compare its version with that of the head row.

    Args:
        table: Table with the head row and the changes.
        objects: Object store with the snapshots.
        target: Replica to update.

    Raises:
        PlatformError: A call to the platform failed.
        DecodeError: The head row is malformed.
    """
    row = await table.read(HEAD_KEY)
    if row.version == 0:
        return
    head = codec.structure(row.value, ConfigHead)
    if head.snapshot_version > target.version:
        await _load_snapshot(objects, head.snapshot_version, target)
    while target.version < head.version:
        rows = await table.read_after(
            CHANGE_PREFIX, change_key(target.version), _MAXIMUM_ROWS_PER_READ
        )
        if not target.apply(_read_change(item) for item in rows):
            # The row of the next change is missing.
            return


async def _load_snapshot(objects: ObjectClient, version: int, target: Configuration) -> None:
    """Loads a snapshot, unless it is malformed: the changes that it sums up apply as well."""
    content = await objects.read(snapshot_name(version))
    try:
        snapshot = _decode_snapshot(content, version)
    except codec.DecodeError as error:
        _log.warning('config_snapshot_unreadable', version=version, reason=str(error))
        return
    target.replace(limit_snapshot(snapshot))


def _decode_snapshot(content: bytes, version: int) -> ConfigSnapshot:
    """Decodes a snapshot; raises DecodeError if it is malformed or that of another version."""
    snapshot = codec.decode(content, ConfigSnapshot)
    if snapshot.version != version:
        raise codec.DecodeError('the version is not that of the name')
    return snapshot


def _read_change(row: Row) -> ConfigChange:
    """Returns the change in a row, or one without content if it cannot be read."""
    version = change_version(row.key)
    try:
        change = _decode_change(row, version)
    except codec.DecodeError as error:
        _log.warning('config_change_unreadable', version=version, reason=str(error))
        return ConfigChange(version=version, change_id='', operator='')
    return limit_change(change)


def _decode_change(row: Row, version: int) -> ConfigChange:
    """Decodes a change; raises DecodeError if it is malformed or that of another version."""
    change = codec.structure(row.value, ConfigChange)
    if change.version != version:
        raise codec.DecodeError('the version is not that of the row')
    return change


async def commit_change(
    platform: PlatformClients,
    build: ChangeBuilder,
) -> Accepted | Conflict | CommitUnknown:
    """Commits one change as the version after the newest one.

    If the response to a commit is lost, the next attempt first looks for the change among the
    committed ones, so that it is not committed twice.

    Args:
        platform: Clients of the platform.
        build: Builds the change from the newest configuration; its version and identifier are
            replaced.

    Returns:
        The outcome. A `PlatformError` of an attempt is not raised: the attempt is repeated, and
        if none succeeds, the outcome is `CommitUnknown`.

    Raises:
        DecodeError: A row or snapshot is malformed. Exceptions of `build` are raised, too.
    """
    change_id = uuid.uuid4().hex
    detail = 'the configuration changed during every attempt'
    for _ in range(_MAXIMUM_ATTEMPTS):
        try:
            outcome = await _try_commit(platform, build, change_id)
        except PlatformError as error:
            detail = str(error)
            await trio.sleep(_RETRY_DELAY_SECONDS)
            continue
        if outcome is not None:
            return outcome
    return CommitUnknown(change_id, detail)


async def _try_commit(
    platform: PlatformClients,
    build: ChangeBuilder,
    change_id: str,
) -> Accepted | Conflict | None:
    """Makes one attempt.

    Returns None if the configuration changed meanwhile, or if the replica could not be loaded up
    to the version of the head row.
    """
    row = await platform.table.read(HEAD_KEY)
    current = Configuration()
    await load_configuration(platform.table, platform.objects, current)
    head_version = codec.structure(row.value, ConfigHead).version if row.version else 0
    if current.version != head_version:
        return None
    committed = await _find_committed_change(platform.table, current, change_id)
    if committed is not None:
        return committed
    built = build(current)
    if isinstance(built, Conflict):
        return built
    return await _write_change(platform, current, (built, change_id, row.version))


async def _find_committed_change(
    table: TableClient,
    current: Configuration,
    change_id: str,
) -> Accepted | None:
    # An earlier attempt can only have committed one of the most recent versions.
    start = change_key(max(0, current.version - _VERSIONS_PER_SNAPSHOT))
    for row in await table.read_after(CHANGE_PREFIX, start, _MAXIMUM_ROWS_PER_READ):
        change = _read_change(row)
        if change.change_id == change_id:
            return Accepted(change.version)
    return None


async def _write_change(
    platform: PlatformClients,
    current: Configuration,
    prepared: tuple[ConfigChange, str, int],
) -> Accepted | None:
    """Commits a change as the next version; returns None if the head row has changed.

    `prepared` is the tuple (requested change, identifier under which it is committed, expected
    version of the head row).
    """
    requested, change_id, row_version = prepared
    version = current.version + 1
    change = ConfigChange(
        version=version,
        change_id=change_id,
        operator=requested.operator,
        contract=requested.contract,
        endpoint=requested.endpoint,
    )
    snapshot_version = await _write_due_snapshot(platform.objects, current)
    head = ConfigHead(version=version, snapshot_version=snapshot_version)
    outcome = await platform.table.commit(
        [
            Put(HEAD_KEY, row_version, codec.to_builtins(head)),
            Put(change_key(version), 0, codec.to_builtins(change)),
        ]
    )
    return Accepted(version) if outcome.result is CommitResult.committed else None


async def _write_due_snapshot(objects: ObjectClient, current: Configuration) -> int:
    """Writes a snapshot if one is due, and returns the version of the newest snapshot.

    The snapshot of a version is due when the version after it is to be committed; the head row
    of that commit names it.
    """
    snapshot_version = current.version - current.version % _VERSIONS_PER_SNAPSHOT
    if snapshot_version == current.version and snapshot_version > 0:
        await objects.write(snapshot_name(snapshot_version), codec.encode(current.to_snapshot()))
    return snapshot_version
