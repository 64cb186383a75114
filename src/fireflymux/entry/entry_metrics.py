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
        self.retries = self._counter('retries_total', 'Repeated attempts by what came before')
        self._account_tokens = self._counter(
            'account_tokens_total', 'Tokens by account, and whether they were given'
        )
        self._accounts: set[str] = set()
        self.unreadable_reports = self._counter(
            'unreadable_reports_total', 'Datagrams that are no report of another instance'
        )
        self.waiting = self._gauge('waiting_requests', 'Requests that wait for an endpoint')
        self.running = self._gauge('running_requests', 'Requests that are being answered')
        self.connections = self._gauge('caller_connections', 'Open connections of callers')
        self.instances_heard = self._gauge('instances_heard', 'Other instances heard lately')
        self.endpoints_known = self._gauge('endpoints_known', 'Endpoints in the list')
        self.endpoints_leaving = self._gauge('endpoints_leaving', 'Listed endpoints that leave')
        self.endpoints_resting = self._gauge(
            'endpoints_resting', 'Endpoints that asked for a time without work'
        )
        self.held_bytes = self._gauge('held_bytes', 'Bytes kept of messages from outside')
        self.held_bytes_limit = self._gauge(
            'held_bytes_limit', 'Most bytes that are kept of messages from outside'
        )
        self.messages_given_up = self._gauge(
            'messages_given_up', 'Messages given up since too much was kept in all'
        )
        self.store_era = self._gauge('store_era', 'How often the store came back from a copy')
        self.table_age = self._gauge(
            'table_age_seconds', 'Time since a table of the store was known to be current'
        )
        self.config_version = self._gauge('config_version', 'Configuration version in force')
        self.first_event = self._histogram('first_event_seconds', 'Time to the first event')
        self.latency = self._histogram('request_seconds', 'Time to the end of the answer')

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
