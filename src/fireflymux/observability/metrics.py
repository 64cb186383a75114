"""Prometheus counters, gauges and histograms of a process."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_LATENCY_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class MetricSet:
    """Metrics of one process, in their own registry."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._registry = Registry()

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics in the Prometheus exposition format.

        Args:
            accept: Values of the Accept header of the request, which select the format.

        Returns:
            Body and headers of the response.
        """
        return render(self._registry, list(accept))

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter('fireflymux_{0}'.format(name), help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge('fireflymux_{0}'.format(name), help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            'fireflymux_{0}'.format(name),
            help_text,
            registry=self._registry,
            buckets=list(_LATENCY_BUCKETS_SECONDS),
        )


class Metrics(MetricSet):
    """All metrics that a router or sidecar exposes."""

    def __init__(self) -> None:
        """Creates the metrics."""
        super().__init__()
        self.requests = self._counter('requests_total', 'Requests by pool and result')
        self.refusals = self._counter('refusals_total', 'Requests refused by error kind')
        self.attempts = self._counter('attempts_total', 'Attempts by pool and result')
        self.retries = self._counter('retries_total', 'Attempts that followed a failed one')
        self.grants = self._counter('grants_total', 'Grant offers by result')
        self.heartbeats = self._counter('heartbeats_total', 'Heartbeats by result')
        self.control_bytes = self._counter('control_bytes_total', 'Control bytes by direction')
        self.claims = self._counter('claims_total', 'Claims of idempotent calls by result')
        self.table_writes = self._counter('table_writes_total', 'Transactions sent to the table')
        self.claim_rows = self._counter('claim_rows_total', 'Rows in transactions of claims')
        self.cost_units = self._counter('cost_units_total', 'Cost units served by account')
        self.resumes = self._counter('resumes_total', 'Answers resumed by result')
        self.waiting = self._gauge('waiting_requests', 'Requests in the queue')
        self.running = self._gauge('running_requests', 'Requests that run on the endpoint')
        self.window = self._gauge('admission_window', 'Requests admitted to the endpoint at once')
        self.config_version = self._gauge('config_version', 'Configuration version in force')
        self.first_token = self._histogram(
            'first_token_seconds', 'Time from arrival to the first byte of the answer'
        )
