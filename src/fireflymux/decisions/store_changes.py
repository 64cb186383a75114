"""What a response about one table of the store tells of the others."""

import attrs

from .store_version import StoreVersion


@attrs.define(frozen=True)
class ListedChanges:
    """Changes of the store that a response about one table lists.

    Versions are taken from one counter for all tables. A table that is known up to some version is
    therefore known up to a later one if all changes between them are changes of another table.

    Attributes:
        newest: Newest version of the store, as the response states it.
        numbers: Numbers of the changes that it lists.
        as_of: Time in seconds at which that version was the newest one.
    """

    newest: StoreVersion
    numbers: frozenset[int]
    as_of: float

    def advance(self, known: StoreVersion) -> StoreVersion:
        """Returns the version up to which another table is known.

        Args:
            known: Version up to which it was known before.

        Returns:
            The newest version if the response lists every change since; `known` otherwise.
        """
        missing = self.newest.number - known.number
        if self.newest.era != known.era or not 0 < missing <= len(self.numbers):
            return known
        between = range(known.number + 1, self.newest.number + 1)
        return self.newest if self.numbers.issuperset(between) else known
