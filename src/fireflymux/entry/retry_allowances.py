"""Keeps the limit on retries of each service."""

from ..decisions.retry_allowance import RetryAllowance
from .state import EntryState

#: Instances that may run at once for each known one, since replacements overlap with the old.
_INSTANCES_FACTOR = 2


class RetryAllowances:
    """Limits on the retries of this instance, by service."""

    def __init__(self, state: EntryState) -> None:
        """Creates an empty collection.

        Args:
            state: State of the instance.
        """
        self._state = state
        self._by_service: dict[str, RetryAllowance] = {}

    def get(self, service: str) -> RetryAllowance:
        """Returns the limit on retries for a service.

        It is created at its first use. It keeps the settings and the number of known instances of
        that moment, and is not updated later.

        Args:
            service: Name of the service.
        """
        allowance = self._by_service.get(service)
        if allowance is None:
            settings = self._state.settings
            allowance = RetryAllowance(
                ratio=settings.retry_ratio,
                window_seconds=settings.retry_window_seconds,
                constant=settings.retry_constant,
                maximum_instances=_INSTANCES_FACTOR * (1 + len(self._state.instances)),
            )
            self._by_service[service] = allowance
        return allowance
