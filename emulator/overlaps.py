"""Values that faults set while they last, several of which may overlap."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Generic, TypeVar

_ValueT = TypeVar('_ValueT')


class Overlap(Generic[_ValueT]):
    """A value that the fault that began last determines, out of those that have not ended."""

    def __init__(self, initial: _ValueT) -> None:
        """Starts without a fault.

        Args:
            initial: Value while there is none.
        """
        self._initial = initial
        self._active: list[tuple[object, _ValueT]] = []

    @property
    def current(self) -> _ValueT:
        """The value that applies now."""
        return self._active[-1][1] if self._active else self._initial

    def is_held(self, value: _ValueT) -> bool:
        """Tells whether any fault that has not ended sets a value."""
        return any(active == value for _, active in self._active)

    @contextmanager
    def hold(self, value: _ValueT) -> Iterator[None]:
        """Applies a value until the end of the context, and then what other faults still set.

        Args:
            value: The value.
        """
        entry = (object(), value)
        self._active.append(entry)
        try:
            yield
        finally:
            self._active.remove(entry)
