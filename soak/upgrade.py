"""Replaces the build of entry instances under traffic, one instance after the other, and back."""

from collections.abc import Iterator
from pathlib import Path

import attrs
import trio

from emulator.instance_process import ROOT

from .checks import find_violations
from .event import Event
from .faults import inject_fault
from .history import Exchange, History
from .plan import Plan
from .testbed import Testbed
from .traffic import start_traffic

_INSTANCES = 3
_ENDPOINTS_PER_SERVICE = 3
_CALLERS_PER_INSTANCE = 3
_POLL_SECONDS = 0.05
#: Time for a new process to start and become ready, on a busy machine.
_READY_SECONDS = 20.0
#: Time for which all instances serve together between two replacements.
_PAUSE_SECONDS = 1.0
#: Time for which callers go on after the last replacement, so that the checks of what is served
#: then have many requests of each instance.
_SETTLED_SECONDS = 10.0
#: Longest time from a request to its answer.
_ANSWER_SECONDS = 3.0
_OK = 200
#: Statuses that tell the caller that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@attrs.define
class UpgradeRecord:
    """Record of a run with two builds.

    Attributes:
        history: What was observed.
        production_starts: Name and incarnation of each process of the build in production.
    """

    history: History
    production_starts: set[tuple[str, int]] = attrs.field(factory=set)

    def is_by_production(self, exchange: Exchange) -> bool:
        """Tells whether a request was sent to a process of the build in production."""
        return (exchange.instance, exchange.incarnation) in self.production_starts


async def run_upgrade(production: Path, folder: Path, *, seed: int) -> UpgradeRecord:
    """Rolls a fleet from the build in production to that of the work tree, and back.

    The configuration changes and an endpoint drains while builds are mixed.

    Args:
        production: Folder of the build in production.
        folder: Folder for the settings files and logs of the instances.
        seed: Seed of the random choices of callers and endpoints.

    Returns:
        Record of what was observed.
    """
    plan = Plan(
        seed=seed,
        instances=_INSTANCES,
        endpoints_per_service=_ENDPOINTS_PER_SERVICE,
        callers_per_instance=_CALLERS_PER_INSTANCE,
        events=(),
    )
    async with trio.open_nursery() as nursery:
        testbed = Testbed(plan, folder, nursery, source_root=production)
        record = UpgradeRecord(testbed.history)
        try:
            await testbed.start()
            _record_production(record, testbed, production)
            async with trio.open_nursery() as caller_tasks:
                start_traffic(testbed, caller_tasks)
                await trio.sleep(_PAUSE_SECONDS)
                for build in (ROOT, production):
                    await _roll(testbed, build)
                    _record_production(record, testbed, production)
                testbed.history.faults_ended_at = trio.current_time()
                await trio.sleep(_SETTLED_SECONDS)
                testbed.history.ended_at = trio.current_time()
                caller_tasks.cancel_scope.cancel()
        finally:
            testbed.close()
        nursery.cancel_scope.cancel()
    return record


async def _roll(testbed: Testbed, build: Path) -> None:
    """Replaces the build of each instance; changes what they all must learn while it is mixed."""
    for number, instance in enumerate(testbed.instances):
        instance.source_root = build
        await inject_fault(testbed, _build_event('term', number))
        with trio.fail_after(_READY_SECONDS):
            while instance.name not in testbed.ready:
                await trio.sleep(_POLL_SECONDS)
        testbed.publish_configuration()
        if not number:
            await inject_fault(testbed, _build_event('drain', number))
        await trio.sleep(_PAUSE_SECONDS)


def _build_event(kind: str, target: int) -> Event:
    return Event(start_seconds=0.0, kind=kind, target=target, duration_seconds=0.0)


def _record_production(record: UpgradeRecord, testbed: Testbed, production: Path) -> None:
    record.production_starts |= {
        (instance.name, instance.incarnation)
        for instance in testbed.instances
        if instance.source_root == production
    }


def find_upgrade_violations(record: UpgradeRecord) -> list[str]:
    """Runs the checks of the soak, and those of a planned upgrade, during which all is served.

    Bytes that are part of no answer count on connections to the new build only: the build in
    production may send them, and an upgrade can only end that. Everything else counts for both.

    Args:
        record: Record of a run.

    Returns:
        One text for each violation.
    """
    exchanges = [_excuse_bytes(record, exchange) for exchange in record.history.exchanges]
    history = attrs.evolve(record.history, exchanges=exchanges)
    return [*find_violations(history), *_find_lost(history)]


def _excuse_bytes(record: UpgradeRecord, exchange: Exchange) -> Exchange:
    """Returns an exchange without such bytes of the build in production.

    A caller that reads them closes its connection, and so gives up an answer that is not complete.
    That build waits for a body of an answer to HEAD, which counts as given up as well.
    """
    if exchange.method == 'HEAD' and record.is_by_production(exchange):
        given_up_at = min(exchange.ended_at, record.history.ended_at)
        return attrs.evolve(exchange, violation='', abandoned_at=given_up_at)
    if not exchange.violation or not record.is_by_production(exchange):
        return exchange
    given_up_at = float('inf') if exchange.is_complete else exchange.ended_at
    return attrs.evolve(exchange, violation='', abandoned_at=given_up_at)


def _find_lost(history: History) -> Iterator[str]:
    """Yields the requests that got neither an answer nor the promise that they did not run."""
    arrivals = history.arrivals_by_attempt()
    for exchange in history.exchanges:
        has_run = exchange.attempt in arrivals
        if _is_unfinished(history, exchange):
            continue
        if exchange.is_complete and exchange.status == _OK:
            continue
        # A request can cross the close of a kept connection; its caller sends it again.
        if not has_run and exchange.status in {0, *_NOT_RUN_STATUSES}:
            continue
        # The key of a version that is replaced meanwhile is refused.
        if exchange.key_version and not has_run:
            continue
        yield 'lost during an upgrade: {0}'.format(exchange)


def _is_unfinished(history: History, exchange: Exchange) -> bool:
    is_abandoned = exchange.abandoned_at < float('inf')
    return is_abandoned or exchange.sent_at > history.ended_at - _ANSWER_SECONDS
