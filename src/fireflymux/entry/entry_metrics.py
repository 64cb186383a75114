"""Counters, gauges and histograms of an entry instance, rendered for scraping."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ..observability.metrics import LATENCY_BUCKETS_SECONDS


class EntryMetrics:
    """Every metric of the entry role; labels are services, results and error kinds only."""

    def __init__(self) -> None:
        """Creates the metrics in a registry of their own."""
        self._registry = Registry()
        self.requests = self._counter('requests_total', 'Requests by service and result')
        self.attempts = self._counter('attempts_total', 'Attempts by service and result')
        self.refusals = self._counter('refusals_total', 'Requests refused by error kind')
        self.retries = self._counter('retries_total', 'Repeated attempts by what came before')
        self.waiting = self._gauge('waiting_requests', 'Requests that wait for an endpoint')
        self.running = self._gauge('running_requests', 'Requests that are being answered')
        self.connections = self._gauge('caller_connections', 'Open connections of callers')
        self.instances_heard = self._gauge('instances_heard', 'Other instances heard lately')
        self.endpoints_known = self._gauge('endpoints_known', 'Endpoints in the list')
        self.config_version = self._gauge('config_version', 'Configuration version in force')
        self.first_event = self._histogram('first_event_seconds', 'Time to the first event')
        self.latency = self._histogram('request_seconds', 'Time to the end of the answer')

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics.

        Args:
            accept: Values of the Accept header.

        Returns:
            Body and headers of the answer.
        """
        return render(self._registry, list(accept))

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter('fireflymux_{0}'.format(name), doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge('fireflymux_{0}'.format(name), doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            'fireflymux_{0}'.format(name),
            doc,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS_SECONDS),
        )
