"""Backups of an emulated store, from which faults restore it."""

from collections import deque
from typing import Any

import attrs
import trio

from .row_store import RowStore

#: Time between two backups of the store, and number of backups kept.
_INTERVAL_SECONDS = 0.25
_MAXIMUM_BACKUPS = 20


@attrs.define(frozen=True)
class _Backup:
    """A backup of the store.

    Attributes:
        taken_at: Time at which it was taken, in seconds of trio's clock.
        content: Argument for `RowStore.restore_backup`.
    """

    taken_at: float
    content: tuple[int, dict[str, Any]]


class StoreBackups:
    """The newest backups of a store."""

    def __init__(self, store: RowStore) -> None:
        """Starts without a backup.

        Args:
            store: The store.
        """
        self._store = store
        self._backups: deque[_Backup] = deque(maxlen=_MAXIMUM_BACKUPS)

    async def run(self) -> None:
        """Backs the store up at regular intervals until cancelled."""
        while True:
            self._backups.append(_Backup(trio.current_time(), self._store.take_backup()))
            await trio.sleep(_INTERVAL_SECONDS)

    def restore(self, age_seconds: float) -> None:
        """Restores the newest backup that is at least so old, or the oldest one if none is."""
        latest = trio.current_time() - age_seconds
        old_enough = [backup for backup in self._backups if backup.taken_at <= latest]
        self._store.restore_backup((old_enough[-1] if old_enough else self._backups[0]).content)
