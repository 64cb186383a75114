"""Commits configuration changes with compare-and-set on the version."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..messages import ConfigChange, ConfigHead, ConfigSnapshot
from ..wire import codec
from .config_rows import CHANGE_PREFIX, HEAD_KEY, change_key, snapshot_name
from .configuration import Configuration
from .platform_client import (
    CommitResult,
    ObjectClient,
    PlatformClients,
    PlatformError,
    Put,
    TableClient,
)

_VERSIONS_PER_SNAPSHOT = 64
_MAXIMUM_ROWS_PER_READ = 1000
_MAXIMUM_ATTEMPTS = 8
_RETRY_DELAY_SECONDS = 0.2

#: Builds the change for the next version, or names the version it lost against.
ChangeBuilder = Callable[[Configuration], 'ConfigChange | Conflict']


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is committed and will never revert."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change of the same item was committed first."""

    current_version: int
    detail: str


@dataclass(frozen=True, slots=True)
class CommitUnknown:
    """The table did not say whether the change is committed."""

    change_id: str
    detail: str


async def load_configuration(
    table: TableClient, objects: ObjectClient, target: Configuration
) -> None:
    """Brings a replica to the newest committed version.

    Args:
        table: Table that holds the head and the changes.
        objects: Store that holds the snapshots.
        target: Replica to bring forward.

    Raises:
        PlatformError: The table or the store did not answer.
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
        changes = [codec.structure(item.value, ConfigChange) for item in rows]
        if not target.apply(changes):
            return


async def _load_snapshot(objects: ObjectClient, version: int, target: Configuration) -> None:
    content = await objects.read(snapshot_name(version))
    target.replace(codec.decode(content, ConfigSnapshot))


async def commit_change(
    platform: PlatformClients,
    build: ChangeBuilder,
) -> Accepted | Conflict | CommitUnknown:
    """Commits one change after the newest version.

    A lost answer is settled by reading the change of that version back.

    Args:
        platform: Clients of the platform.
        build: Builds the change from the newest configuration; its version is replaced.

    Returns:
        The tagged outcome.
    """
    change_id = uuid.uuid4().hex
    detail = 'no attempt'
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
    start = change_key(max(0, current.version - _VERSIONS_PER_SNAPSHOT))
    for row in await table.read_after(CHANGE_PREFIX, start, _MAXIMUM_ROWS_PER_READ):
        if row.value['change_id'] == change_id:
            return Accepted(row.value['version'])
    return None


async def _write_change(
    platform: PlatformClients,
    current: Configuration,
    prepared: tuple[ConfigChange, str, int],
) -> Accepted | None:
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
    commit = await platform.table.commit(
        [
            Put(HEAD_KEY, row_version, codec.to_plain(head)),
            Put(change_key(version), 0, codec.to_plain(change)),
        ]
    )
    return Accepted(version) if commit.result is CommitResult.committed else None


async def _write_due_snapshot(objects: ObjectClient, current: Configuration) -> int:
    snapshot_version = current.version - current.version % _VERSIONS_PER_SNAPSHOT
    if snapshot_version == current.version and snapshot_version > 0:
        await objects.write(snapshot_name(snapshot_version), codec.encode(current.to_snapshot()))
    return snapshot_version
