"""Outstanding work on each endpoint, summed over all entry instances."""

from collections.abc import Mapping

import attrs

#: Time without a report of an instance after which its last one is dropped.
_REPORT_EXPIRY_SECONDS = 1.0


@attrs.define
class EndpointLoad:
    """Outstanding work on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens that were not cached there and need prefill, of requests
            whose responses have not begun.
        running: Number of requests whose responses have not ended, including those that wait at
            the endpoint for a slot.
    """

    pending_tokens: int = 0
    running: int = 0


class FleetLoads:
    """Loads by endpoint number.

    Requests of this instance count at once, those of other instances as they are reported. The
    total over all instances is kept up to date, so that reading it costs no summation.
    """

    def __init__(self) -> None:
        """Creates loads of zero on all endpoints."""
        self._own: dict[int, EndpointLoad] = {}
        self._total: dict[int, EndpointLoad] = {}
        self._reports: dict[str, dict[int, EndpointLoad]] = {}
        self._reported_at: dict[str, float] = {}

    def list_reporters(self) -> list[str]:
        """Lists the instances whose reports are held."""
        return list(self._reports)

    def total(self, endpoint: int) -> EndpointLoad:
        """Returns the load of an endpoint over all instances."""
        return self._total.get(endpoint) or EndpointLoad()

    def begin(self, endpoint: int, tokens: int) -> None:
        """Counts a request sent to an endpoint.

        Args:
            endpoint: Number of the endpoint.
            tokens: Prompt tokens that need prefill there.
        """
        self._add(self._own, endpoint, tokens, 1)
        self._add(self._total, endpoint, tokens, 1)

    def end_prefill(self, endpoint: int, tokens: int) -> None:
        """Takes the prompt of a request off the pending tokens once its prefill has ended."""
        self._add(self._own, endpoint, -tokens, 0)
        self._add(self._total, endpoint, -tokens, 0)

    def end(self, endpoint: int) -> None:
        """Takes a request that has ended off the running ones."""
        self._add(self._own, endpoint, 0, -1)
        self._add(self._total, endpoint, 0, -1)

    def report(self) -> dict[int, EndpointLoad]:
        """Copies this instance's own loads, except for endpoints without requests."""
        return {
            endpoint: EndpointLoad(load.pending_tokens, load.running)
            for endpoint, load in self._own.items()
            if load.running
        }

    def merge(
        self, instance: str, loads: Mapping[int, EndpointLoad], now: float, *, is_whole: bool
    ) -> None:
        """Merges the report of another instance.

        Args:
            instance: Name of the instance.
            loads: Its own loads by endpoint.
            now: Time in seconds.
            is_whole: Whether this is a full report, so that the instance has no load on other
                endpoints. Otherwise it holds changes, and the other loads stay as they are.
        """
        self._reported_at[instance] = now
        known = self._reports.setdefault(instance, {})
        if is_whole:
            for removed in known.keys() - loads.keys():
                self._replace(known, removed, EndpointLoad())
        for endpoint, load in loads.items():
            self._replace(known, endpoint, load)

    def expire(self, now: float) -> None:
        """Drops the reports of instances that have stopped reporting.

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
    """Finds the loads that have changed since they were last sent.

    Args:
        sent: Loads by endpoint as last sent.
        current: Loads by endpoint now.

    Returns:
        The changed loads; zero for endpoints that have no load any more.
    """
    changed = {endpoint: load for endpoint, load in current.items() if sent.get(endpoint) != load}
    for idle in sent.keys() - current.keys():
        changed[idle] = EndpointLoad()
    return changed
