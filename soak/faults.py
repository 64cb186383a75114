"""Injects the faults and makes the changes of a plan."""

import signal
from contextlib import ExitStack

import trio

from emulator.endpoint_host import EndpointHost
from emulator.faulty_endpoint import FaultyEndpoint
from emulator.odd_rows import ODD_ROWS
from emulator.proxies import TcpProxy

from .event import Event
from .history import SETTLE_SECONDS, Stop
from .plan import RESTORE_OUTAGE_SECONDS, REWRITE_DELAY_SECONDS
from .table_outages import TABLE_OUTAGE_KINDS
from .testbed import SERVICES, Testbed

#: Delay that the fault `delay` adds to each block of bytes.
_PROXY_DELAY_SECONDS = 0.15
_POLL_SECONDS = 0.02
#: Time for which an endpoint that is cut off stays so once TCP has ended its connections.
_CUT_AFTER_RESET_SECONDS = 0.3
#: Time from the announcement that an endpoint is draining until its entry is removed.
_ENTRY_REMOVAL_SECONDS = 2.5
#: Time that a drained endpoint still runs after its entry was removed.
_LINGER_SECONDS = 0.5
#: Time until a crashed endpoint's entry is removed from the store.
_ENTRY_EXPIRY_SECONDS = 1.0
#: Time until the address of a stopped endpoint is used for its replacement.
_ADDRESS_REUSE_SECONDS = 0.5
#: Number of odd rows that one event writes, their key, and the probability that one is removed
#: before the next one takes its place.
_ODD_ROW_COUNT = 14
_ODD_ROW_KEY = 'odd'
_ODD_ROW_REMOVAL_PROBABILITY = 0.5
#: Kinds whose target is a service.
_SERVICE_FAULTS = frozenset(('faulty', 'stutter'))


async def inject_fault(testbed: Testbed, event: Event) -> None:
    """Starts the fault of one event and ends it after its duration.

    Args:
        testbed: Testbed of the run.
        event: Event of its plan.
    """
    await _INJECTORS.get(event.kind, _disturb_endpoints)(testbed, event)


async def _publish_configuration(testbed: Testbed, event: Event) -> None:
    testbed.publish_configuration()


async def _forget_history(testbed: Testbed, event: Event) -> None:
    testbed.store.forget_history()


async def _restore_store(testbed: Testbed, event: Event) -> None:
    """Restores the store from a backup after an outage.

    The operator and the endpoints repeat their lost writes some time later.
    """
    testbed.record_disturbance(event.kind, '', RESTORE_OUTAGE_SECONDS)
    with testbed.interrupt_store(testbed.instances, 'reset'):
        await trio.sleep(RESTORE_OUTAGE_SECONDS)
        testbed.backups.restore(event.backup_age_seconds)
    await trio.sleep(REWRITE_DELAY_SECONDS)
    testbed.rewrite_rows()


async def _interrupt_store(testbed: Testbed, event: Event) -> None:
    """Starts an outage of the store for one instance, or for all."""
    instances = testbed.instances if event.target < 0 else [testbed.instances[event.target]]
    testbed.record_disturbance(
        event.kind, '' if event.target < 0 else instances[0].name, event.duration_seconds
    )
    with testbed.interrupt_store(instances, event.kind.removeprefix('store_')):
        await trio.sleep(event.duration_seconds)


async def _interrupt_table(testbed: Testbed, event: Event) -> None:
    """Starts an outage of the store about one table, which disturbs what hangs on that one only.

    What the store accepts once it is over has to be known in time: there is no time to settle.
    """
    table, _, outage = event.kind.partition('_')
    testbed.record_disturbance(event.kind, table, event.duration_seconds - SETTLE_SECONDS)
    with testbed.interrupt_store(testbed.instances, outage, table=table):
        await trio.sleep(event.duration_seconds)


async def _write_odd_rows(testbed: Testbed, event: Event) -> None:
    """Writes odd rows among those of the endpoints, one after another, and removes each.

    No disturbance is recorded, since rows that name no endpoint must not affect callers.
    """
    gap_seconds = event.duration_seconds / _ODD_ROW_COUNT
    for name in testbed.rng.sample(sorted(ODD_ROWS), k=_ODD_ROW_COUNT):
        testbed.store.put('servers', _ODD_ROW_KEY, ODD_ROWS[name])
        await trio.sleep(gap_seconds)
        if testbed.rng.random() < _ODD_ROW_REMOVAL_PROBABILITY:
            testbed.store.remove('servers', _ODD_ROW_KEY)
    testbed.store.remove('servers', _ODD_ROW_KEY)


async def _pause(testbed: Testbed, event: Event) -> None:
    """Stops an instance with SIGSTOP and lets it continue, unless another pause goes on."""
    instance = testbed.instances[event.target]
    testbed.record_disturbance(event.kind, instance.name, event.duration_seconds)
    instance.signal(signal.SIGSTOP)
    with instance.is_paused.hold(value=True):
        await trio.sleep(event.duration_seconds)
    if not instance.is_paused.current:
        instance.signal(signal.SIGCONT)


async def _kill(testbed: Testbed, event: Event) -> None:
    """Kills an instance and restarts it, unless another event has restarted it by then."""
    instance = testbed.instances[event.target]
    incarnation = instance.incarnation
    testbed.record_disturbance(event.kind, instance.name, event.duration_seconds + 1)
    disturbance = testbed.history.disturbances[-1]
    instance.signal(signal.SIGKILL)
    await trio.sleep(event.duration_seconds)
    while instance.incarnation == incarnation and instance.is_running:
        disturbance.end = trio.current_time() + 1
        await trio.sleep(_POLL_SECONDS)
    if instance.incarnation == incarnation:
        instance.start()
        disturbance.end = trio.current_time() + 1


async def _terminate(testbed: Testbed, event: Event) -> None:
    """Stops an instance with SIGTERM, records how it ended, and restarts it.

    The disturbance lasts until one second after the end of the process.
    """
    instance = testbed.instances[event.target]
    if not instance.is_running or instance.process is None:
        return
    process = instance.process
    testbed.record_disturbance(event.kind, instance.name, 0)
    disturbance = testbed.history.disturbances[-1]
    stop = Stop(
        instance=instance.name, incarnation=instance.incarnation, signalled_at=disturbance.start
    )
    testbed.history.stops.append(stop)
    instance.signal(signal.SIGTERM)
    while process.poll() is None:
        disturbance.end = trio.current_time() + 1
        await trio.sleep(_POLL_SECONDS)
    stop.exit_code = process.returncode
    stop.ended_at = trio.current_time()
    if instance.incarnation == stop.incarnation:
        instance.start()


async def _send_reload_signal(testbed: Testbed, event: Event) -> None:
    """Makes an instance reload its settings.

    No disturbance is recorded, since a reload must not affect callers.
    """
    testbed.instances[event.target].signal(signal.SIGHUP)


async def _drop_peer_traffic(testbed: Testbed, event: Event) -> None:
    """Drops datagrams between instances and blocks snapshot requests to the target.

    `peers_deaf` drops only the datagrams to the target, `peers_cut` those to every instance.
    """
    name = testbed.instances[event.target].name
    testbed.record_disturbance(event.kind, name, event.duration_seconds)
    proxies = testbed.peer_proxies
    with ExitStack() as losses:
        for proxy in [proxies[event.target]] if event.kind == 'peers_deaf' else proxies:
            losses.enter_context(proxy.drops_datagrams.hold(value=True))
        snapshot_proxy = testbed.snapshot_proxies[event.target]
        losses.enter_context(snapshot_proxy.holds_upstream.hold(value=True))
        await trio.sleep(event.duration_seconds)


async def _cut(testbed: Testbed, event: Event) -> None:
    """Cuts an endpoint off; some time later, as TCP would, ends its connections.

    Requests whose attempts are then broken off have nearly used up the time of their route, and no
    connection attempt is answered.
    """
    endpoint_host = testbed.endpoint_hosts[event.target]
    endpoint = endpoint_host.endpoint
    names = [endpoint_host.name] if endpoint is None else [endpoint_host.name, endpoint.name]
    seconds = event.duration_seconds + _CUT_AFTER_RESET_SECONDS
    for name in names:
        testbed.record_disturbance(event.kind, name, seconds)
    proxy = endpoint_host.proxy
    with proxy.holds_downstream.hold(value=True), proxy.refuses_all.hold(value=True):
        await trio.sleep(event.duration_seconds)
        proxy.reset()
        await trio.sleep(_CUT_AFTER_RESET_SECONDS)


async def _drain(testbed: Testbed, event: Event) -> None:
    """Announces that an endpoint leaves, stops it some time later, and replaces it."""
    endpoint_host = testbed.endpoint_hosts[event.target]
    endpoint = endpoint_host.endpoint
    if endpoint is None:
        return
    endpoint_host.endpoint = None
    testbed.announce(endpoint_host, endpoint, 'draining')
    testbed.history.leaving_since[endpoint.name] = trio.current_time()
    await trio.sleep(_ENTRY_REMOVAL_SECONDS)
    testbed.remove_entry(endpoint)
    await trio.sleep(_LINGER_SECONDS)
    await _stop_endpoint(testbed, endpoint_host, endpoint, event.kind)
    await _start_replacement(testbed, endpoint_host)


async def _crash(testbed: Testbed, event: Event) -> None:
    """Stops an endpoint unannounced, removes its entry later, and replaces it."""
    endpoint_host = testbed.endpoint_hosts[event.target]
    endpoint = endpoint_host.endpoint
    if endpoint is None:
        return
    endpoint_host.endpoint = None
    await _stop_endpoint(testbed, endpoint_host, endpoint, event.kind)
    await trio.sleep(_ENTRY_EXPIRY_SECONDS)
    testbed.remove_entry(endpoint)
    await _start_replacement(testbed, endpoint_host)


async def _stop_endpoint(
    testbed: Testbed, endpoint_host: EndpointHost, endpoint: FaultyEndpoint, kind: str
) -> None:
    for target in (endpoint_host.name, endpoint.name):
        testbed.record_disturbance(kind, target, 1)
    await endpoint.crash()


async def _start_replacement(testbed: Testbed, endpoint_host: EndpointHost) -> None:
    """Starts a new endpoint on a host, for the service with the fewest endpoints."""
    await trio.sleep(_ADDRESS_REUSE_SECONDS)
    endpoints = [item.endpoint for item in testbed.endpoint_hosts if item.endpoint is not None]
    services = [endpoint.service for endpoint in endpoints]
    scarcest = min(SERVICES, key=services.count)
    await testbed.add_endpoint(endpoint_host, scarcest)


async def _disturb_endpoints(testbed: Testbed, event: Event) -> None:
    """Makes an endpoint, its proxy or a service fail in the way of the event for its duration."""
    hosts = [testbed.endpoint_hosts[event.target]]
    if event.kind in _SERVICE_FAULTS:
        service = SERVICES[event.target]
        hosts = [
            endpoint_host
            for endpoint_host in testbed.endpoint_hosts
            if endpoint_host.endpoint and endpoint_host.endpoint.service == service
        ]
    with ExitStack() as faults:
        for endpoint_host in hosts:
            endpoint = endpoint_host.endpoint
            if endpoint is None:
                continue
            for target in (endpoint_host.name, endpoint.name):
                testbed.record_disturbance(event.kind, target, event.duration_seconds)
            _enter_fault(faults, event.kind, endpoint_host.proxy, endpoint)
        await trio.sleep(event.duration_seconds)


def _enter_fault(faults: ExitStack, kind: str, proxy: TcpProxy, endpoint: FaultyEndpoint) -> None:
    """Begins a fault of an endpoint or its proxy; the stack ends it."""
    if kind == 'reset':
        proxy.reset()
    elif kind == 'delay':
        faults.enter_context(proxy.delay_seconds.hold(_PROXY_DELAY_SECONDS))
    elif kind in {'grey', 'breaks', 'faulty', 'stutter', 'flood'}:
        faults.enter_context(endpoint.modes.hold(kind))
    if kind in {'silent', 'silent_up'}:
        faults.enter_context(proxy.holds_upstream.hold(value=True))
    if kind in {'silent', 'silent_down'}:
        faults.enter_context(proxy.holds_downstream.hold(value=True))


#: Functions by kind of event; the other kinds are those of `_disturb_endpoints`.
_INJECTORS = {
    'configure': _publish_configuration,
    'forget_history': _forget_history,
    'store_back': _restore_store,
    'store_busy': _interrupt_store,
    'store_reset': _interrupt_store,
    'store_silent': _interrupt_store,
    **dict.fromkeys(TABLE_OUTAGE_KINDS, _interrupt_table),
    'pause': _pause,
    'kill': _kill,
    'term': _terminate,
    'hup': _send_reload_signal,
    'peers_cut': _drop_peer_traffic,
    'peers_deaf': _drop_peer_traffic,
    'cut': _cut,
    'drain': _drain,
    'crash': _crash,
    'odd_rows': _write_odd_rows,
}
