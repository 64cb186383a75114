"""Carries out the faults and changes of a plan."""

import signal

import trio

from .endpoints import SoakEndpoint
from .history import Stop
from .plan import AWAY_SECONDS, REWRITE_SECONDS, Event
from .world import SERVICES, Place, World

_DELAY_SECONDS = 0.15
_POLL_SECONDS = 0.02
#: Time from the announcement of an endpoint's leave until its entry is removed.
_LEAVE_SECONDS = 2.5
#: Time that it goes on serving after that.
_STAY_SECONDS = 0.5
#: Time until the entry of an endpoint that crashed is removed.
_ENTRY_EXPIRY_SECONDS = 1.0
#: Time until the address of an endpoint that has ended is used again.
_REUSE_SECONDS = 0.5


async def carry_out(world: World, event: Event) -> None:
    """Carries out one event and ends it when its time is over.

    Args:
        world: The soak.
        event: The event.
    """
    await _FAULTS.get(event.kind, _spoil_endpoint)(world, event)


async def _configure(world: World, event: Event) -> None:
    world.configure()


async def _forget_history(world: World, event: Event) -> None:
    world.store.forget_history()


async def _go_back(world: World, event: Event) -> None:
    """Brings the store back from a copy; the operator and the endpoints write theirs again."""
    world.disturb(event.kind, '', AWAY_SECONDS)
    world.turn_away(world.instances, 'reset')
    await trio.sleep(AWAY_SECONDS)
    world.store.go_back(world.find_copy(event.copy_seconds))
    world.turn_away(world.instances, '')
    await trio.sleep(REWRITE_SECONDS)
    world.write_again()


async def _turn_away(world: World, event: Event) -> None:
    instances = world.instances if event.target < 0 else [world.instances[event.target]]
    world.disturb(event.kind, '' if event.target < 0 else instances[0].name, event.seconds)
    world.turn_away(instances, event.kind.removeprefix('store_'))
    await trio.sleep(event.seconds)
    world.turn_away(instances, '')


async def _pause(world: World, event: Event) -> None:
    instance = world.instances[event.target]
    world.disturb(event.kind, instance.name, event.seconds)
    instance.signal(signal.SIGSTOP)
    await trio.sleep(event.seconds)
    instance.signal(signal.SIGCONT)


async def _kill(world: World, event: Event) -> None:
    instance = world.instances[event.target]
    incarnation = instance.incarnation
    world.disturb(event.kind, instance.name, event.seconds + 1)
    instance.signal(signal.SIGKILL)
    await trio.sleep(event.seconds)
    if instance.incarnation == incarnation and not instance.is_running:
        instance.start()


async def _terminate(world: World, event: Event) -> None:
    instance = world.instances[event.target]
    if not instance.is_running or instance.popen is None:
        return
    process = instance.popen
    world.disturb(event.kind, instance.name, 0)
    disturbance = world.history.disturbances[-1]
    stop = Stop(instance=instance.name, incarnation=instance.incarnation, at=disturbance.start)
    world.history.stops.append(stop)
    instance.signal(signal.SIGTERM)
    while process.poll() is None:
        disturbance.end = trio.current_time() + 1
        await trio.sleep(_POLL_SECONDS)
    stop.code = process.returncode
    stop.ended_at = trio.current_time()
    if instance.incarnation == stop.incarnation:
        instance.start()


async def _reload(world: World, event: Event) -> None:
    world.instances[event.target].signal(signal.SIGHUP)


async def _cut_peers(world: World, event: Event) -> None:
    """Loses all datagrams between instances, or those to one; one hands out no snapshots."""
    name = world.instances[event.target].name
    world.disturb(event.kind, name, event.seconds)
    own = world.peer_links[event.target]
    snapshots = world.snapshot_links[event.target]
    cut = [own] if event.kind == 'peers_deaf' else world.peer_links
    for link in cut:
        link.is_cut = True
    snapshots.is_silent_up = True
    await trio.sleep(event.seconds)
    for link in cut:
        link.is_cut = False
    snapshots.is_silent_up = False


async def _drain(world: World, event: Event) -> None:
    place = world.places[event.target]
    endpoint = place.endpoint
    if endpoint is None:
        return
    place.endpoint = None
    world.announce(place, endpoint, 'draining')
    world.history.left[endpoint.name] = trio.current_time()
    await trio.sleep(_LEAVE_SECONDS)
    world.withdraw(endpoint)
    await trio.sleep(_STAY_SECONDS)
    _end_endpoint(world, place, endpoint, event.kind)
    await _replace(world, place)


async def _crash(world: World, event: Event) -> None:
    place = world.places[event.target]
    endpoint = place.endpoint
    if endpoint is None:
        return
    place.endpoint = None
    _end_endpoint(world, place, endpoint, event.kind)
    await trio.sleep(_ENTRY_EXPIRY_SECONDS)
    world.withdraw(endpoint)
    await _replace(world, place)


def _end_endpoint(world: World, place: Place, endpoint: SoakEndpoint, kind: str) -> None:
    for target in (place.name, endpoint.name):
        world.disturb(kind, target, 1)
    endpoint.crash()


async def _replace(world: World, place: Place) -> None:
    """Starts another endpoint at an address, for the service that has fewest."""
    await trio.sleep(_REUSE_SECONDS)
    endpoints = [item.endpoint for item in world.places if item.endpoint is not None]
    others = [endpoint.service for endpoint in endpoints]
    fewest = min(SERVICES, key=others.count)
    await world.add_endpoint(place, fewest)


async def _spoil_endpoint(world: World, event: Event) -> None:
    place = world.places[event.target]
    endpoint = place.endpoint
    if endpoint is None:
        return
    for target in (place.name, endpoint.name):
        world.disturb(event.kind, target, event.seconds)
    link = place.link
    if event.kind == 'reset':
        link.reset()
    elif event.kind == 'delay':
        link.delay_seconds = _DELAY_SECONDS
    elif event.kind in {'grey', 'breaks'}:
        endpoint.mode = event.kind
    link.is_silent_up = link.is_silent_up or event.kind in {'silent', 'silent_up'}
    link.is_silent_down = link.is_silent_down or event.kind in {'silent', 'silent_down'}
    await trio.sleep(event.seconds)
    link.delay_seconds = 0.0
    endpoint.mode = ''
    link.is_silent_up = False
    link.is_silent_down = False


_FAULTS = {
    'configure': _configure,
    'forget_history': _forget_history,
    'store_back': _go_back,
    'store_busy': _turn_away,
    'store_reset': _turn_away,
    'store_silent': _turn_away,
    'pause': _pause,
    'kill': _kill,
    'term': _terminate,
    'hup': _reload,
    'peers_cut': _cut_peers,
    'peers_deaf': _cut_peers,
    'drain': _drain,
    'crash': _crash,
}
