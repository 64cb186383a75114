"""Runs entry instances with an emulated store and endpoints, in one process on loopback."""

import random
import socket
from collections import Counter
from collections.abc import Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

import orjson
import trio

from fireflymux._settings_generated import EntrySettings, ObservabilitySettings
from fireflymux.entry.instance import EntryInstance
from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HttpLimits, Request
from fireflymux.http.response_writer import ResponseWriter
from fireflymux.settings import EntryProcessSettings

from .backend import Backend
from .caller_exchange import HOST, KEY, Reply, encode_call, exchange
from .row_store import RowStore, find_table

#: Ports for listeners. The range lies below the kernel's ephemeral ports, which an outgoing
#: connection can occupy at any time.
_PORT_RANGE = (20000, 32000)
#: Ports after which a process may return earlier ones again.
_MAXIMUM_RETURNED_PORTS = 6000
_returned_ports: set[int] = set()
_LIMITS: Mapping[str, int] = MappingProxyType(
    {
        'max_header_bytes': 4096,
        'max_body_bytes': 20000,
        'header_timeout_ms': 400,
        'idle_timeout_ms': 3000,
        'tokens_per_s': 100000,
    }
)


def free_port(host: str = '127.0.0.1') -> int:
    """Returns an unused TCP port outside the ephemeral range, and the same one only once.

    Nothing listens on the port until its user does, so that it looks unused for a while.
    """
    while True:
        port = random.randint(*_PORT_RANGE)
        if port in _returned_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if len(_returned_ports) >= _MAXIMUM_RETURNED_PORTS:
            _returned_ports.clear()
        _returned_ports.add(port)
        return port


def route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route in the format of the operators' configuration.

    Args:
        prefix: Prefix of the paths.
        kind: Type of the route, which says how its requests may be retried.
        service: Service that gets the requests.
        changes: Members that replace the defaults.
    """
    return {
        'name': prefix.strip('/') or 'root',
        'host': HOST,
        'prefix': prefix,
        'type': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'stream_resume': False,
    } | changes


def configuration(version: int, routes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns a configuration in the operators' format.

    Args:
        version: Version of the configuration.
        routes: Routes; their services are added.
        changes: Members that replace the defaults.
    """
    names = {entry['service'] for entry in routes}
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': name, 'max_connections': 50} for name in sorted(names)],
        'limits': dict(_LIMITS),
        'tenants': [{'name': 'mothers', 'api_keys': [KEY], 'priority': 1}],
    } | changes


class EntryFleet:
    """A store, endpoints and entry instances.

    Attributes:
        store: The emulated store.
        backends: Emulated endpoints by identifier.
        instances: Entry instances, in the order in which they were added.
        settings: Settings of the instances, in the same order.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = RowStore()
        self.backends: dict[str, Backend] = {}
        self.instances: list[EntryInstance] = []
        self.settings: list[EntrySettings] = []
        self._nursery = nursery
        # By address and table; the empty table stands for all tables and writes.
        self._outages: dict[tuple[str, str], str] = {}
        self._losses: Counter[tuple[str, str]] = Counter()
        self._peer_port = free_port()

    async def start_store(self) -> str:
        """Starts a listener of the store and returns its address.

        Each call starts one more listener, so that instances with different addresses can have
        different outages.
        """
        address = '127.0.0.1:{0}'.format(free_port())

        async def respond(request: Request, writer: ResponseWriter) -> None:
            affecting = {(address, ''), (address, find_table(request))}
            losses = sum(self._losses[key] for key in affecting)

            def find_outage() -> str:
                if sum(self._losses[key] for key in affecting) > losses:
                    return 'silent'
                return next(filter(None, map(self._outages.get, affecting)), '')

            await self.store.respond(request, writer, find_outage)

        await self._listen(address, respond)
        return address

    def turn_away(self, store_address: str, outage: str, *, table: str = '') -> None:
        """Begins or ends an outage of the store at one of its addresses.

        Args:
            store_address: Address of the listener.
            outage: `busy`, `reset` or `silent`, as in `RowStore.respond`; empty to end it.
            table: Table whose reads alone it affects; empty for all calls.
        """
        self._outages[store_address, table] = outage

    def lose_answers(self, store_address: str, *, table: str = '') -> None:
        """Loses the answers to the calls of the store that are pending at one of its addresses.

        Later calls are answered; nothing tells the callers that the earlier ones never are.

        Args:
            store_address: Address of the listener.
            table: Table whose reads alone are affected; empty for all calls.
        """
        self._losses[store_address, table] += 1

    async def add_backend(
        self, name: str, service: str, behaviour: str = 'answer', **changes: Any
    ) -> Backend:
        """Starts an emulated endpoint and registers it in the store.

        Args:
            name: Identifier of the endpoint.
            service: Service that it belongs to.
            behaviour: How it handles requests, as in `Backend`.
            changes: Members of its row that replace the defaults.
        """
        backend = Backend(name, behaviour)
        self.backends[name] = backend
        address = '127.0.0.1:{0}'.format(free_port())
        await self._listen(address, backend.respond)
        self.announce(name, service, address, **changes)
        return backend

    def announce(self, name: str, service: str, address: str, **changes: Any) -> None:
        """Registers an endpoint in the store."""
        entry = {
            'service': service,
            'address': address,
            'zone': 'a',
            'batch_slots': 8,
            'state': 'ready',
            'sequence': 1,
            'born': 1700000000000,
        }
        self.store.put('servers', name, entry | changes)

    def evacuate(self, failure_domain: str) -> None:
        """Evacuates a failure domain, as the operator does."""
        self.store.put('op', 'evacuate/{0}'.format(failure_domain), {})

    def end_evacuation(self, failure_domain: str) -> None:
        """Takes the evacuation of a failure domain back."""
        self.store.remove('op', 'evacuate/{0}'.format(failure_domain))

    def change_endpoint(self, name: str, **changes: Any) -> None:
        """Changes members of an endpoint's row in the store."""
        raw, _ = self.store._tables['servers'][name]
        self.store.put('servers', name, orjson.loads(raw) | changes)

    async def add_instance(self, store_address: str, **changes: Any) -> EntryInstance:
        """Starts an entry instance in this process.

        Args:
            store_address: Address of the store.
            changes: Settings that replace the defaults.
        """
        number = len(self.instances) + 1
        host = '127.0.0.{0}'.format(number + 10)
        settings = EntrySettings(
            **{
                'name': 'entry-{0}'.format(number),
                'failure_domain': 'a',
                'caller_address': '127.0.0.1:{0}'.format(free_port()),
                'readiness_address': '127.0.0.1:{0}'.format(free_port()),
                'peer_host': host,
                'peer_port': self._peer_port,
                'seeds': '127.0.0.11:1',
                'store_address': store_address,
            }
            | changes
        )
        instance = EntryInstance(
            EntryProcessSettings(entry=settings, observability=ObservabilitySettings())
        )
        self.instances.append(instance)
        self.settings.append(settings)
        await self._nursery.start(instance.serve)
        return instance

    async def wait_ready(self, number: int = 0) -> None:
        """Waits until an instance reports that it is ready."""
        with trio.fail_after(5):
            while (await self.ask_readiness(number)) != 200:
                await trio.sleep(0.02)

    async def ask_readiness(self, number: int = 0) -> int:
        """Returns the HTTP status that an instance answers at its readiness address."""
        reply = await exchange(
            self.settings[number].readiness_address,
            b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n',
        )
        return reply.status

    async def call(self, path: str, number: int = 0, **options: Any) -> Reply:
        """Sends a caller's request to an instance; the options are those of `encode_call`."""
        return await exchange(self.settings[number].caller_address, encode_call(path, **options))

    async def _listen(self, address: str, respond: Any) -> None:
        listener = Listener(address, respond, limits=HttpLimits, is_stopping=bool)
        await self._nursery.start(listener.run)


@asynccontextmanager
async def open_fleet():
    """Opens a fleet without endpoints and instances, and cancels its tasks at the end."""
    async with trio.open_nursery() as nursery:
        yield EntryFleet(nursery)
        nursery.cancel_scope.cancel()
