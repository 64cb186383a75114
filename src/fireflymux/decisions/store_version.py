"""Versions of the store, which may come back from a copy that is some seconds old."""

import attrs


@attrs.define(frozen=True, order=True)
class StoreVersion:
    """A version of the store; later ones are greater.

    Numbers go back when the store comes back from a copy, and are given out again. Each time
    the era rises, so that a version of a newer era is later whatever its number.

    Attributes:
        era: How often the store came back from a copy.
        number: Number of the newest change.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Returns the version as logs show it."""
        return '{0}.{1}'.format(self.era, self.number)
