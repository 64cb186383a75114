"""Keeps the time at which each followed table of the store was last known to be current.

An instance that knows a table up to a version knows it to be current whenever the store states that
version as its newest, in a response about any table.
"""

from collections.abc import Iterable

import attrs

from .store_changes import ListedChanges
from .store_version import StoreVersion

_NEVER = float('-inf')


@attrs.define
class _KnownTable:
    """What is known of one table.

    Attributes:
        version: Version up to which its changes are known.
        current_at: Time at which the store last showed that there are no others, in seconds.
        is_in_doubt: Whether a call about it is overdue or has failed since.
    """

    version: StoreVersion = attrs.field(factory=StoreVersion)
    current_at: float = _NEVER
    is_in_doubt: bool = True


class TableAges:
    """Ages of what an instance knows of the tables that it follows."""

    def __init__(self, tables: Iterable[str]) -> None:
        """Creates ages of tables that were not read yet.

        Args:
            tables: Names of the tables.
        """
        self._tables = {table: _KnownTable() for table in tables}

    def record_read(self, table: str, version: StoreVersion, as_of: float) -> None:
        """Records that the store returned a table, or its changes, up to a version.

        Args:
            table: Name of the table.
            version: The version.
            as_of: Time in seconds at which that was the newest version of the store.
        """
        current_at = max(self._tables[table].current_at, as_of)
        self._tables[table] = _KnownTable(version, current_at, is_in_doubt=False)

    def record_response(self, changes: ListedChanges) -> None:
        """Records a response of the store about any table.

        Args:
            changes: What it shows of the changes of the store.
        """
        for known in self._tables.values():
            known.version = changes.advance(known.version)
            if known.version >= changes.newest:
                known.current_at = max(known.current_at, changes.as_of)

    def record_doubt(self, table: str) -> None:
        """Records that a call about a table is overdue or has failed."""
        self._tables[table].is_in_doubt = True

    def is_in_doubt(self, table: str) -> bool:
        """Tells whether a call about a table is overdue, has failed, or was not yet made."""
        return self._tables[table].is_in_doubt

    def get_age(self, table: str, now: float) -> float:
        """Returns the seconds since a table was known to be current; infinity before that."""
        return now - self._tables[table].current_at

    def find_stated_age(self, now: float) -> float | None:
        """Finds the age that other instances may rely on.

        Args:
            now: Time in seconds.

        Returns:
            Seconds, the greatest of all tables; None while any of them is in doubt.
        """
        if any(known.is_in_doubt for known in self._tables.values()):
            return None
        return max(now - known.current_at for known in self._tables.values())
