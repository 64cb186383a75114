"""The promises of the entry role, checked on what callers, endpoints and the store saw."""

from collections.abc import Callable, Iterable, Iterator

import orjson

from .endpoints import expected_content
from .history import Disturbance, Exchange, History, Stop

DRAIN_NOTICE_SECONDS = 2.0
#: Time in which an instance has read what the store accepted.
STORE_FOLLOW_SECONDS = 1.0
CONFIGURATION_LAG_SECONDS = 2.0
#: How long requests of an older version may still arrive after one of a newer version.
VERSION_OVERLAP_SECONDS = 0.25
ROUTE_TIMEOUT_SECONDS = 2.0
ANSWER_GRACE_SECONDS = 0.5
RELEASE_SECONDS = 0.5
SHUTDOWN_TIMEOUT_SECONDS = 8.0
#: Time from the last fault until requests are served again.
RECOVERY_SECONDS = 3.0
_MINIMUM_SERVED_PART = 0.9
RETRY_RATIO = 0.2
RETRY_CONSTANT = 10
RETRY_WINDOW_SECONDS = 10.0

_UNREPEATABLE_KINDS = frozenset(('unsafe', 'once'))
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
_UNAUTHENTICATED = 401
_REQUIRED_LOG_KEYS = frozenset(('time', 'level', 'module', 'event', 'instance'))


def check_answers(history: History) -> Iterator[str]:
    """A success is the whole answer to its own request, or does not look whole."""
    for exchange in history.exchanges:
        if exchange.status != _OK:
            continue
        expected = expected_content(exchange.attempt, exchange.event_count)
        if exchange.echoed_attempt != exchange.attempt or not exchange.endpoint:
            yield 'the answer of another request: {0}'.format(exchange)
        elif exchange.is_complete and exchange.content != expected:
            yield 'looks whole and is not: {0}'.format(exchange)
        elif not expected.startswith(exchange.content):
            yield 'pieces are missing, doubled or joined: {0}'.format(exchange)


def check_once(history: History) -> Iterator[str]:
    """What must not repeat runs once at most, and not at all where it was said not to have."""
    arrivals_by_attempt = history.arrivals_by_attempt()
    for exchange in history.exchanges:
        arrivals = arrivals_by_attempt.get(exchange.attempt, [])
        if exchange.kind not in _UNREPEATABLE_KINDS:
            continue
        if len(arrivals) > 1:
            yield 'ran {0} times: {1}'.format(len(arrivals), exchange)
        if arrivals and exchange.status in _NOT_RUN_STATUSES:
            yield 'said not to have run: {0}'.format(exchange)


def check_asked(history: History) -> Iterator[str]:
    """Endpoints run what callers sent, for the account that holds the key."""
    sent = {exchange.attempt: exchange for exchange in history.exchanges}
    for arrival in history.arrivals:
        exchange = sent.get(arrival.attempt)
        if exchange is None:
            yield 'nobody sent it: {0}'.format(arrival)
        elif arrival.account != exchange.account or arrival.has_key:
            yield 'another account, or the key itself: {0}'.format(arrival)


def check_draining(history: History) -> Iterator[str]:
    """An endpoint gets nothing more soon after the store accepted that it leaves."""
    sent = {exchange.attempt: exchange for exchange in history.exchanges}
    for arrival in history.arrivals:
        leaving_since = history.leaving_since.get(arrival.endpoint, float('inf'))
        exchange = sent.get(arrival.attempt)
        if exchange is None or arrival.started_at <= leaving_since + DRAIN_NOTICE_SECONDS:
            continue
        targets = {exchange.instance, arrival.endpoint}
        # What an instance has seen leave stays so when the store comes back from a copy.
        faults = _without_restores(history, leaving_since)
        if faults.is_undisturbed(targets, leaving_since, arrival.started_at):
            yield 'reached an endpoint {0:.2f} s after it announced its leave: {1}'.format(
                arrival.started_at - leaving_since, exchange
            )


def check_configuration(history: History) -> Iterator[str]:
    """A version is in force in time wherever nothing disturbs an instance."""
    for exchange in _probes(history):
        targets = {exchange.instance}
        replaced_at = history.config_accepted_at.get(
            _next_version(history, exchange.key_version), float('inf')
        )
        accepted_at = history.config_accepted_at[exchange.key_version]
        if exchange.status == _OK and exchange.sent_at > replaced_at + CONFIGURATION_LAG_SECONDS:
            faults = _without_restores(history, replaced_at)
            if faults.is_undisturbed(targets, replaced_at, exchange.ended_at):
                yield 'a dropped key still serves: {0}'.format(exchange)
        is_due = (
            exchange.sent_at > accepted_at + CONFIGURATION_LAG_SECONDS
            and exchange.ended_at < replaced_at
        )
        if exchange.status == _UNAUTHENTICATED and is_due:
            faults = _without_restores(history, accepted_at)
            if faults.is_undisturbed(targets, accepted_at, exchange.ended_at):
                yield 'a key is not known yet: {0}'.format(exchange)


def check_versions(history: History) -> Iterator[str]:
    """The configuration of one start of an instance never goes back."""
    newest: dict[tuple[str, int], Exchange] = {}
    for exchange in sorted(_probes(history), key=lambda item: item.sent_at):
        if exchange.status != _OK:
            continue
        start = exchange.instance, exchange.incarnation
        seen = newest.get(start)
        if seen is None or exchange.key_version >= seen.key_version:
            newest[start] = exchange
        elif exchange.sent_at > seen.ended_at + VERSION_OVERLAP_SECONDS:
            yield 'went back from version {0}: {1}'.format(seen.key_version, exchange)


def check_time(history: History) -> Iterator[str]:
    """A request has its final answer when its route's time is over."""
    for exchange in history.exchanges:
        if exchange.abandoned_at < float('inf'):
            continue
        last = exchange.sent_at + ROUTE_TIMEOUT_SECONDS + ANSWER_GRACE_SECONDS
        ended_at = min(exchange.ended_at, history.ended_at)
        if ended_at > last and history.is_undisturbed({exchange.instance}, exchange.sent_at, last):
            yield 'no answer after {0:.2f} s: {1}'.format(ended_at - exchange.sent_at, exchange)


def check_release(history: History) -> Iterator[str]:
    """An endpoint is freed soon after its caller has left."""
    arrivals_by_attempt = history.arrivals_by_attempt()
    for exchange in history.exchanges:
        last = exchange.abandoned_at + RELEASE_SECONDS
        for arrival in arrivals_by_attempt.get(exchange.attempt, ()):
            ended_at = min(arrival.ended_at, history.ended_at)
            targets = {exchange.instance, arrival.endpoint}
            if ended_at > last and history.is_undisturbed(targets, exchange.sent_at, last):
                yield 'works for a caller that left {0:.2f} s ago: {1}'.format(
                    ended_at - exchange.abandoned_at, exchange
                )


def check_stops(history: History) -> Iterator[str]:
    """A planned stop ends in time, with code 0, and breaks no request off."""
    for stop in history.stops:
        own_faults = [
            fault
            for fault in history.disturbances
            if fault.kind == 'term'
            and fault.target == stop.instance
            and fault.start == stop.signalled_at
        ]
        if not _is_otherwise_undisturbed(history, own_faults, stop):
            continue
        if stop.exit_code != 0 or stop.ended_at > stop.signalled_at + SHUTDOWN_TIMEOUT_SECONDS:
            yield 'did not stop as planned: {0}'.format(stop)
        for exchange in history.exchanges:
            is_same_start = (exchange.instance, exchange.incarnation) == (
                stop.instance,
                stop.incarnation,
            )
            is_around_stop = (
                stop.signalled_at - 1
                <= exchange.sent_at
                <= stop.signalled_at + DRAIN_NOTICE_SECONDS
            )
            is_abandoned = exchange.abandoned_at < float('inf')
            if is_same_start and is_around_stop and not is_abandoned and not exchange.is_complete:
                yield 'broken off by a planned stop: {0}'.format(exchange)


def check_recovery(history: History) -> Iterator[str]:
    """Requests are served again soon after the last fault, on each instance."""
    first = history.faults_ended_at + RECOVERY_SECONDS
    last = history.ended_at - ROUTE_TIMEOUT_SECONDS
    for instance in sorted({exchange.instance for exchange in history.exchanges}):
        requests = [
            exchange
            for exchange in history.exchanges
            if exchange.instance == instance and first <= exchange.sent_at <= last
        ]
        requests = [
            exchange
            for exchange in requests
            if exchange.abandoned_at == float('inf') and not exchange.key_version
        ]
        served = sum(exchange.status == _OK and exchange.is_complete for exchange in requests)
        if served < _MINIMUM_SERVED_PART * len(requests):
            yield '{0} serves {1} of {2} after the faults'.format(instance, served, len(requests))


def check_repeats(history: History) -> Iterator[str]:
    """Repeats stay within the part of a service's requests that the settings allow."""
    for service, kinds in (('orders', ('unsafe', 'safe')), ('models', ('once', 'resumable'))):
        seen: set[str] = set()
        repeat_times = []
        for arrival in history.arrivals:
            if arrival.service == service and arrival.attempt in seen:
                repeat_times.append(arrival.started_at)
            seen.add(arrival.attempt)
        request_times = [item.sent_at for item in history.exchanges if item.kind in kinds]
        for end in repeat_times:
            start = end - RETRY_WINDOW_SECONDS
            repeat_count = sum(start < at <= end for at in repeat_times)
            request_count = sum(start < at <= end for at in request_times)
            if repeat_count > RETRY_RATIO * request_count + RETRY_CONSTANT:
                yield '{0} repeats of {1} requests to {2}'.format(
                    repeat_count, request_count, service
                )
                break


def check_logs(history: History) -> Iterator[str]:
    """Each line that an instance prints is a record, and none holds a key."""
    for instance, line in history.log_lines:
        try:
            keys = set(orjson.loads(line))
        except (orjson.JSONDecodeError, TypeError):
            keys = set()
        if not _REQUIRED_LOG_KEYS <= keys or 'key-' in line:
            yield 'a line of {0}: {1}'.format(instance, line)


def _probes(history: History) -> Iterable[Exchange]:
    return [exchange for exchange in history.exchanges if exchange.key_version]


def _next_version(history: History, version: int) -> int:
    return min((item for item in history.config_accepted_at if item > version), default=0)


def _without_restores(history: History, accepted_at: float) -> History:
    """Returns the disturbances for what the store accepted at some time.

    A store that comes back from a copy loses what it accepted shortly before, which the instances
    need not have read; it excuses nothing of what they had read, or was written later.
    """
    kept = [
        fault
        for fault in history.disturbances
        if fault.kind != 'store_back'
        or fault.start - STORE_FOLLOW_SECONDS <= accepted_at <= fault.end
    ]
    return History(disturbances=kept)


def _is_otherwise_undisturbed(history: History, own_faults: list[Disturbance], stop: Stop) -> bool:
    others = [fault for fault in history.disturbances if fault not in own_faults]
    other_disturbances = History(disturbances=others)
    targets = {stop.instance} | {fault.target for fault in others if '/' in fault.target}
    end = min(stop.ended_at, stop.signalled_at + SHUTDOWN_TIMEOUT_SECONDS)
    return other_disturbances.is_undisturbed(targets, stop.signalled_at - 1, end)


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    check_answers,
    check_once,
    check_asked,
    check_draining,
    check_configuration,
    check_versions,
    check_time,
    check_release,
    check_stops,
    check_recovery,
    check_repeats,
    check_logs,
)


def find_violations(history: History) -> list[str]:
    """Checks every promise.

    Args:
        history: What was seen.

    Returns:
        One line for each violation, beginning with the name of the check.
    """
    return [
        '{0}: {1}'.format(check.__name__, violation)
        for check in CHECKS
        for violation in check(history)
    ]
