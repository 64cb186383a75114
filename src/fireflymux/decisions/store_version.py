"""Versions of the store, which may be restored from a copy that is a few seconds old."""

import attrs


@attrs.define(frozen=True, order=True)
class StoreVersion:
    """A version of the store; newer ones compare greater.

    When the store is restored from a copy, it falls back to an earlier change number, and the
    numbers after that are assigned a second time. Each restore also increases the era, so that
    any version of a newer era is greater, whatever its number.

    Attributes:
        era: Number of times that the store has been restored from a copy.
        number: Number of the newest change.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Formats the version for logs."""
        return '{0}.{1}'.format(self.era, self.number)
