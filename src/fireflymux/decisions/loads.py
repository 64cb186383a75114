"""Work outstanding on each endpoint, summed over all entry instances."""

from collections.abc import Mapping

import attrs

#: The report of an instance that was not heard for this long counts no more.
_REPORT_EXPIRY_SECONDS = 1.0


@attrs.define
class EndpointLoad:
    """Work on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens sent to it whose answer has not begun.
        running: Requests sent to it whose answer has not ended.
    """

    pending_tokens: int = 0
    running: int = 0


class FleetLoads:
    """Loads by endpoint number: this instance's own at once, others' as they report."""

    def __init__(self) -> None:
        """Starts with no load."""
        self._own: dict[int, EndpointLoad] = {}
        self._total: dict[int, EndpointLoad] = {}
        self._reports: dict[str, dict[int, EndpointLoad]] = {}
        self._reported_at: dict[str, float] = {}

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

    def report(self) -> dict[int, EndpointLoad]:
        """Returns a copy of this instance's own loads, of endpoints with requests on them."""
        return {
            endpoint: EndpointLoad(load.pending_tokens, load.running)
            for endpoint, load in self._own.items()
            if load.running
        }

    def merge(
        self, instance: str, loads: Mapping[int, EndpointLoad], now: float, *, is_whole: bool
    ) -> None:
        """Takes over the report of another instance.

        Args:
            instance: Name of the instance.
            loads: Its own loads by endpoint.
            now: Time in seconds.
            is_whole: Whether it has no work on the other endpoints; as before otherwise.
        """
        self._reported_at[instance] = now
        known = self._reports.setdefault(instance, {})
        if is_whole:
            for removed in known.keys() - loads.keys():
                self._replace(known, removed, EndpointLoad())
        for endpoint, load in loads.items():
            self._replace(known, endpoint, load)

    def expire(self, now: float) -> None:
        """Forgets the reports of instances that fell silent.

        Args:
            now: Time in seconds.
        """
        silent = [
            name
            for name, reported_at in self._reported_at.items()
            if now - reported_at > _REPORT_EXPIRY_SECONDS
        ]
        for name in silent:
            self._drop_report(name)
            self._reported_at.pop(name)

    def _drop_report(self, instance: str) -> None:
        for endpoint, load in self._reports.pop(instance, {}).items():
            self._add(self._total, endpoint, -load.pending_tokens, -load.running)

    def _replace(self, known: dict[int, EndpointLoad], endpoint: int, load: EndpointLoad) -> None:
        previous = known.pop(endpoint, None) or EndpointLoad()
        if load.running:
            known[endpoint] = load
        tokens = load.pending_tokens - previous.pending_tokens
        running = load.running - previous.running
        if tokens or running:
            self._add(self._total, endpoint, tokens, running)

    def _add(
        self, loads: dict[int, EndpointLoad], endpoint: int, tokens: int, running: int
    ) -> None:
        load = loads.get(endpoint)
        if load is None:
            load = EndpointLoad()
            loads[endpoint] = load
        load.pending_tokens += tokens
        load.running += running


def find_load_changes(
    sent: Mapping[int, EndpointLoad], current: Mapping[int, EndpointLoad]
) -> dict[int, EndpointLoad]:
    """Finds the loads that differ from those sent last.

    Args:
        sent: Loads by endpoint when they were sent last.
        current: The same now.

    Returns:
        The loads that changed, emptied endpoints included.
    """
    changed = {endpoint: load for endpoint, load in current.items() if sent.get(endpoint) != load}
    for idle in sent.keys() - current.keys():
        changed[idle] = EndpointLoad()
    return changed
