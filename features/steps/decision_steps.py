"""Steps for the entry role's decisions on retries and ejections, and the checks that When steps share.

Steps on other decisions have modules of their own, named for the decision.
"""

from behave import then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from fireflymux.decisions.ejection import EndpointRecord, eject_outliers
from fireflymux.decisions.endpoint_backoff import EndpointBackoff
from fireflymux.decisions.entry_configuration import Repeatability
from fireflymux.decisions.retry import AttemptHistory, Ending, may_retry
from fireflymux.decisions.retry_allowance import RetryAllowance

_PROPERTY_SETTINGS = hypothesis_settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)


@when('requests and retries arrive at four instances in any order')
def spend_retry_allowances(context):
    step = strategies.tuples(
        strategies.integers(0, 3), strategies.booleans(), strategies.floats(0, 0.5)
    )

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(step, max_size=200))
    def run(steps):
        allowances = [
            RetryAllowance(ratio=0.2, window_seconds=10, constant=16, maximum_instances=4)
            for _ in range(4)
        ]
        now = 0.0
        requests, retries = [], []
        for instance, is_request, pause in steps:
            now += pause
            if is_request:
                allowances[instance].count_request(now)
                requests.append(now)
            elif allowances[instance].try_spend(now):
                retries.append(now)
            in_window = sum(time > now - 10 for time in retries)
            assert in_window <= 0.2 * sum(time > now - 10 for time in requests) + 16

    run()


def _record_attempt(history, ending):
    if ending is Ending.not_sent:
        history.unsent += 1
        return
    history.record_send()
    if ending is Ending.rejected:
        history.record_rejection()


@when('attempts of a "{kind}" request that may go to {most:d} endpoints ended as "{endings}"')
def decide_retry(context, kind, most, endings):
    history = AttemptHistory()
    last = Ending.not_sent
    for entry in endings.split(', '):
        name, _, times = entry.partition(' x')
        last = Ending(name)
        for _ in range(int(times or 1)):
            _record_attempt(history, last)
    context.is_retried = may_retry(
        history,
        last,
        repeatability=Repeatability(kind),
        maximum_endpoints=most,
        seconds_left=1.0,
        try_spend=lambda: True,
    )


@then('it is retried: {again}')
def check_retry(context, again):
    assert context.is_retried is (again == 'yes'), context.is_retried


@when('endpoints of a service fail at any rates')
def eject_endpoints(context):
    @_PROPERTY_SETTINGS
    @generate(strategies.lists(strategies.floats(0, 1), min_size=1, max_size=8))
    def run(rates):
        records = [
            EndpointRecord(EndpointBackoff(clock=lambda: 0.0), failure_rate=rate) for rate in rates
        ]
        ejected = eject_outliers(records, 0.0)
        assert len(ejected) <= len(rates) / 2
        better = sorted(rates)[: (len(rates) + 1) // 2]
        for record, rate in zip(records, rates, strict=True):
            if record in ejected:
                assert rate >= 0.35 and rate >= 2.5 * sum(better) / len(better)

    run()


@then('each other instance gets each report once, and each failure domain one copy from outside')
@then('each account gets its demand or the level, and all capacity is allocated')
@then('the cache counts the same leading tokens as the list')
@then('no window has more retries than the limit')
@then('no bucket owes more than its depth, and all are full while there is no shortage')
@then('its reports add up to what it charged, apart from the decay between two of them')
@then('the route found is that of a search over all prefixes')
@then('the parser returns the same two requests')
@then('the caller receives each event once, in order')
@then('at most half of them are ejected, each failing far more often than the better half')
def checked_by_when_step(context):
    """The When step checks each generated case."""
