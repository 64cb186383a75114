"""Work outstanding on each endpoint, summed over all entry instances."""

from collections.abc import Iterable

import attrs

#: The report of an instance that was not heard for this long counts no more.
_REPORT_SECONDS = 1.0


@attrs.define
class EndpointLoad:
    """Work on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens sent to it whose answer has not begun.
        running: Requests sent to it whose answer has not ended.
    """

    pending_tokens: int = 0
    running: int = 0


@attrs.define(frozen=True)
class LoadReport:
    """What one instance has outstanding on one endpoint.

    Attributes:
        endpoint: Number of the endpoint.
        pending_tokens: As in `EndpointLoad`.
        running: As in `EndpointLoad`.
    """

    endpoint: int
    pending_tokens: int
    running: int


class FleetLoads:
    """Loads by endpoint number: this instance's own at once, others' as they report."""

    def __init__(self) -> None:
        """Starts with no load."""
        self._own: dict[int, EndpointLoad] = {}
        self._total: dict[int, EndpointLoad] = {}
        self._reports: dict[str, list[LoadReport]] = {}
        self._heard: dict[str, float] = {}

    def list_reporters(self) -> list[str]:
        """Lists the instances whose reports count."""
        return list(self._reports)

    def total(self, endpoint: int) -> EndpointLoad:
        """Returns the load of an endpoint over all instances."""
        return self._total.get(endpoint) or EndpointLoad()

    def begin(self, endpoint: int, tokens: int) -> None:
        """Counts a request sent to an endpoint.

        Args:
            endpoint: Number of the endpoint.
            tokens: Prompt tokens that it has to read.
        """
        self._add(self._own, endpoint, tokens, 1)
        self._add(self._total, endpoint, tokens, 1)

    def end_reading(self, endpoint: int, tokens: int) -> None:
        """Counts that the prompt of a request has been read."""
        self._add(self._own, endpoint, -tokens, 0)
        self._add(self._total, endpoint, -tokens, 0)

    def end(self, endpoint: int) -> None:
        """Counts the end of a request."""
        self._add(self._own, endpoint, 0, -1)
        self._add(self._total, endpoint, 0, -1)

    def report(self) -> list[LoadReport]:
        """Lists this instance's own load."""
        return [
            LoadReport(endpoint, load.pending_tokens, load.running)
            for endpoint, load in self._own.items()
            if load.running
        ]

    def merge(self, instance: str, reports: Iterable[LoadReport], now: float) -> None:
        """Takes over the report of another instance, in place of its last one.

        Args:
            instance: Name of the instance.
            reports: Its own loads.
            now: Time in seconds.
        """
        self._forget(instance)
        kept = list(reports)
        self._reports[instance] = kept
        self._heard[instance] = now
        for entry in kept:
            self._add(self._total, entry.endpoint, entry.pending_tokens, entry.running)

    def expire(self, now: float) -> None:
        """Forgets the reports of instances that fell silent.

        Args:
            now: Time in seconds.
        """
        silent = [name for name, heard in self._heard.items() if now - heard > _REPORT_SECONDS]
        for name in silent:
            self._forget(name)
            self._heard.pop(name)

    def _forget(self, instance: str) -> None:
        for entry in self._reports.pop(instance, ()):
            self._add(self._total, entry.endpoint, -entry.pending_tokens, -entry.running)

    def _add(
        self, loads: dict[int, EndpointLoad], endpoint: int, tokens: int, running: int
    ) -> None:
        load = loads.get(endpoint)
        if load is None:
            load = EndpointLoad()
            loads[endpoint] = load
        load.pending_tokens += tokens
        load.running += running
