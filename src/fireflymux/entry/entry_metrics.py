"""Counters, gauges and histograms of an entry instance, rendered for scraping."""

import enum

from ..observability.metrics import MetricSet

#: Accounts that get a label of their own; the later ones share the label `other`.
_MAXIMUM_LABELLED_ACCOUNTS = 500
_OTHER_ACCOUNTS_LABEL = 'other'


class TokenState(enum.Enum):
    """State in which tokens of an account are counted; a token can be counted in several."""

    #: Asked for; a caller that sends a request again after a refusal asks again.
    asked = 'asked'
    #: Charged to the account's share when a request was placed.
    given = 'given'
    #: Charged and then refunded, since no endpoint ran the request.
    unused = 'unused'
    #: Refused, since no endpoint had room for the request in time.
    refused = 'refused'


class EntryMetrics(MetricSet):
    """Every metric of an entry instance.

    Labels have few values, so that there are few series: services, results, error kinds, and a
    bounded number of accounts.
    """

    def __init__(self) -> None:
        """Creates the metrics."""
        super().__init__()
        self.requests = self._counter('requests_total', 'Requests by service and result')
        self.attempts = self._counter('attempts_total', 'Attempts by service and result')
        self.refusals = self._counter('refusals_total', 'Requests refused by error kind')
        self.retries = self._counter(
            'retries_total', 'Repeated attempts by how the previous one ended'
        )
        self._account_tokens = self._counter(
            'account_tokens_total', 'Tokens by account and state: asked, given, unused or refused'
        )
        self._accounts: set[str] = set()
        self.unreadable_reports = self._counter(
            'unreadable_reports_total', 'Datagrams from other instances that could not be decoded'
        )
        self.waiting = self._gauge('waiting_requests', 'Requests that wait for an endpoint')
        self.running = self._gauge('running_requests', 'Requests that are being answered')
        self.connections = self._gauge('caller_connections', 'Open connections of callers')
        self.instances_heard = self._gauge(
            'instances_heard', 'Other instances that sent a report recently'
        )
        self.endpoints_known = self._gauge('endpoints_known', 'Endpoints in the list of the store')
        self.endpoints_leaving = self._gauge(
            'endpoints_leaving', 'Listed endpoints that are leaving'
        )
        self.endpoints_resting = self._gauge(
            'endpoints_resting', 'Endpoints that asked with Retry-After to get no requests for now'
        )
        self.store_era = self._gauge(
            'store_era', 'Times that the store was restored from an older copy'
        )
        self.config_version = self._gauge('config_version', 'Version of the active configuration')
        self.first_event = self._histogram(
            'first_event_seconds', 'Time from sending a request to its first event'
        )
        self.latency = self._histogram(
            'request_seconds', 'Time from receiving a request to the end of its answer'
        )

    def count_tokens(self, account: str, state: TokenState, tokens: float) -> None:
        """Counts the tokens of one request.

        Args:
            account: Client account.
            state: State in which they are counted.
            tokens: Cost of the request: its prompt tokens, and twice its expected output tokens.
        """
        if account not in self._accounts and len(self._accounts) < _MAXIMUM_LABELLED_ACCOUNTS:
            self._accounts.add(account)
        label = account if account in self._accounts else _OTHER_ACCOUNTS_LABEL
        self._account_tokens.add({'account': label, 'state': state.value}, tokens)
