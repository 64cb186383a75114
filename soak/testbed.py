"""Testbed of a soak run: store, endpoints, proxies and entry instances on loopback."""

import random
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Any

import trio

from emulator.addresses import (
    CALLER_PORT,
    ENDPOINT_PORT,
    PEER_PORT,
    READINESS_PORT,
    STORE_PORT,
    AddressBlock,
)
from emulator.endpoint_host import EndpointHost
from emulator.entry_fleet import configuration, route
from emulator.faulty_endpoint import SLOTS, FaultyEndpoint
from emulator.instance_process import ROOT, InstanceProcess
from emulator.overlaps import Overlap
from emulator.proxies import TcpProxy, UdpProxy
from emulator.row_store import RowStore, find_table
from emulator.store_backups import StoreBackups
from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HttpLimits, Request
from fireflymux.http.response_writer import ResponseWriter

from .history import Disturbance, History, OwnEnd
from .plan import Plan
from .table_outages import STORE_TABLES

SERVICES = ('models', 'orders')
API_KEYS: Mapping[str, str] = MappingProxyType(
    {'mothers': 'key-mothers', 'partner': 'key-partner'}
)
#: Client account whose API key changes with each version of the configuration, so that requests
#: with its keys show which version an instance has in force.
PROBE_ACCOUNT = 'canary'
#: Prefixes of request paths by kind of request; the identifier of the request follows.
ROUTES: Mapping[str, str] = MappingProxyType(
    {
        'unsafe': '/charges/',
        'safe': '/lookups/',
        'once': '/notes/',
        'resumable': '/chats/',
        'resumable_thrice': '/talks/',
    }
)
#: Time allowed for up to 10 instances to become ready; it grows with their number.
_READY_SECONDS = 60.0
#: Interval of the readiness checks.
_POLL_SECONDS = 0.25
#: Purposes of addresses, for `AddressBlock.host`.
_INSTANCE_ADDRESSES = 1
_ADVERTISED_ADDRESSES = 2
_STORE_ADDRESSES = 3
_ENDPOINT_ADDRESSES = 4
_PROXY_ADDRESSES = 5


def probe_key(version: int) -> str:
    """Returns the API key of the probe account in one version of the configuration."""
    return 'key-v{0}'.format(version)


def _configuration(version: int) -> dict[str, Any]:
    routes = [
        route('/charges/', 'unsafe', 'orders'),
        route('/lookups/', 'safe', 'orders'),
        route('/notes/', 'streaming', 'models'),
        route('/chats/', 'streaming', 'models', stream_resume=True),
        route('/talks/', 'streaming', 'models', stream_resume=True, max_attempts=3),
    ]
    accounts = [{'name': name, 'api_keys': [key]} for name, key in API_KEYS.items()]
    accounts.append({'name': PROBE_ACCOUNT, 'api_keys': [probe_key(version)]})
    return configuration(version, routes, tenants=accounts)


class Testbed:
    """Instance processes of one run, with simulated endpoints, store and network.

    Attributes:
        plan: Plan of the run.
        history: Record of what is observed.
        rng: Random generator for choices that are not part of the plan.
        store: Simulated store.
        backups: Backups of the store.
        instances: Entry instances.
        endpoint_hosts: Hosts of the endpoints.
        peer_proxies: Proxies for datagrams to each instance, by index of the instance.
        snapshot_proxies: Proxies for snapshot requests to each instance, by index of the instance.
        ready: Names of the instances to which a load balancer would direct new connections.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        nursery: trio.Nursery,
        *,
        mutant: str = '',
        source_root: Path = ROOT,
    ) -> None:
        """Creates a testbed in which nothing runs yet.

        Args:
            plan: Plan of the run.
            folder: Folder for the settings files and logs of the instances.
            nursery: Runs the tasks of the simulated components.
            mutant: Variant of the program with one mechanism disabled; empty for the unchanged
                program.
            source_root: Folder of the build that the instances run at first.
        """
        self.plan = plan
        self.history = History(retry_constant=plan.retry_constant)
        self.rng = random.Random(plan.seed + 1)
        self.store = RowStore()
        self.backups = StoreBackups(self.store)
        self.instances: list[InstanceProcess] = []
        self.endpoint_hosts: list[EndpointHost] = []
        self.peer_proxies: list[UdpProxy] = []
        self.snapshot_proxies: list[TcpProxy] = []
        self.ready: set[str] = set()
        self._folder = folder
        self._nursery = nursery
        self._mutant = mutant
        self._source_root = source_root
        self._address_block = AddressBlock()
        # By address and table; the empty table stands for all calls.
        self._outages: dict[tuple[str, str], Overlap[str]] = {}
        self._endpoint_entries: dict[str, dict[str, Any]] = {}
        self._endpoints_started = 0
        self._version = 10

    async def start(self) -> None:
        """Starts all components and waits until all instances are ready."""
        for number in range(2 * self.plan.endpoints_per_service):
            self._add_endpoint_host(number)
        for endpoint_host in self.endpoint_hosts:
            await self.add_endpoint(endpoint_host, SERVICES[endpoint_host.number % len(SERVICES)])
        self.publish_configuration()
        self._nursery.start_soon(self.backups.run)
        await self._add_instances()
        for instance in self.instances:
            instance.start()
            self._nursery.start_soon(self._poll_readiness, instance)
            self._nursery.start_soon(self._restart_ended, instance)
        with trio.fail_after(_READY_SECONDS * max(1, len(self.instances) / 10)):
            while len(self.ready) < len(self.instances):
                await trio.sleep(_POLL_SECONDS)

    def publish_configuration(self) -> None:
        """Writes a new version of the configuration to the store."""
        self._version += self.rng.randint(1, 3)
        self.store.put('op', 'config', _configuration(self._version))
        self.history.config_accepted_at[self._version] = trio.current_time()

    async def add_endpoint(self, endpoint_host: EndpointHost, service: str) -> None:
        """Starts a new endpoint on a host and announces it as ready."""
        self._endpoints_started += 1
        name = 'e{0}'.format(self._endpoints_started)
        endpoint = FaultyEndpoint(name, service, self.history.arrivals, self.rng)
        await self._nursery.start(endpoint.run, endpoint_host.address)
        # Not before, since another fault could end it while it starts.
        endpoint_host.endpoint = endpoint
        self.announce(endpoint_host, endpoint, 'ready')

    def announce(self, endpoint_host: EndpointHost, endpoint: FaultyEndpoint, state: str) -> None:
        """Writes an endpoint's entry to the store."""
        entry = {
            'service': endpoint.service,
            'address': endpoint_host.proxy.address,
            'zone': 'abc'[endpoint_host.number % 3],
            'batch_slots': SLOTS,
            'state': state,
            'sequence': 1,
            'born': 1700000000000,
        }
        self._endpoint_entries[endpoint.name] = entry
        self.store.put('servers', endpoint.name, entry)

    def remove_entry(self, endpoint: FaultyEndpoint) -> None:
        """Removes an endpoint's entry from the store."""
        self._endpoint_entries.pop(endpoint.name, None)
        self.store.remove('servers', endpoint.name)

    def rewrite_rows(self) -> None:
        """Repeats the writes of the operator and the endpoints that a restore has undone."""
        self.store.put('op', 'config', _configuration(self._version))
        for name, entry in self._endpoint_entries.items():
            self.store.put('servers', name, entry)
        for removed in set(self.store.keys('servers')) - set(self._endpoint_entries):
            self.store.remove('servers', removed)

    @contextmanager
    def interrupt_store(
        self, instances: list[InstanceProcess], outage: str, *, table: str = ''
    ) -> Iterator[None]:
        """Lets the store be away for some instances until the end of the context.

        Args:
            instances: Instances that it affects.
            outage: 'busy', 'reset' or 'silent', as `RowStore.respond` takes it.
            table: Table whose reads alone it affects; empty for all calls.
        """
        with ExitStack() as outages:
            for instance in instances:
                held = self._outages[instance.store_address, table]
                outages.enter_context(held.hold(outage))
            yield

    def record_disturbance(self, kind: str, target: str, seconds: float) -> None:
        """Records a disturbance that starts now.

        Args:
            kind: Kind of the event.
            target: Name of the instance, endpoint or endpoint host; empty for everything.
            seconds: Length of the disturbance.
        """
        now = trio.current_time()
        self.history.disturbances.append(
            Disturbance(kind=kind, target=target, start=now, end=now + seconds)
        )

    def close(self) -> None:
        """Kills all processes and adds their log lines to the history."""
        for instance in self.instances:
            instance.kill()
            if instance.log_path.exists():
                lines = instance.log_path.read_text(errors='replace').split('\n')
                named_lines = [(instance.name, line) for line in lines if line]
                self.history.log_lines.extend(named_lines)

    def _add_endpoint_host(self, number: int) -> None:
        host = self._address_block.host(_ENDPOINT_ADDRESSES, number)
        proxy = TcpProxy(
            self._address_block.host(_PROXY_ADDRESSES, number),
            ENDPOINT_PORT,
            (host, ENDPOINT_PORT),
        )
        endpoint_host = EndpointHost(
            number=number,
            address='{0}:{1}'.format(host, ENDPOINT_PORT),
            proxy=proxy,
        )
        self.endpoint_hosts.append(endpoint_host)
        self._nursery.start_soon(endpoint_host.proxy.run)

    async def _add_instances(self) -> None:
        numbers = range(self.plan.instances)
        hosts = [self._address_block.host(_ADVERTISED_ADDRESSES, number) for number in numbers]
        seeds = ','.join('{0}:{1}'.format(host, PEER_PORT) for host in hosts[:3])
        for number, advertised in zip(numbers, hosts, strict=True):
            store_address = '{0}:{1}'.format(
                self._address_block.host(_STORE_ADDRESSES, number), STORE_PORT
            )
            await self._start_store_listener(store_address)
            host = self._address_block.host(_INSTANCE_ADDRESSES, number)
            self.peer_proxies.append(UdpProxy(advertised, host, PEER_PORT))
            self.snapshot_proxies.append(TcpProxy(advertised, PEER_PORT, (host, PEER_PORT)))
            self._nursery.start_soon(self.peer_proxies[-1].run)
            self._nursery.start_soon(self.snapshot_proxies[-1].run)
            self.instances.append(
                InstanceProcess(
                    name='entry-{0}'.format(number + 1),
                    failure_domain='abc'[number % 3],
                    caller_address='{0}:{1}'.format(host, CALLER_PORT),
                    readiness_address='{0}:{1}'.format(host, READINESS_PORT),
                    peer_host=host,
                    advertised_host=advertised,
                    peer_port=PEER_PORT,
                    seeds=seeds,
                    store_address=store_address,
                    retry_constant=self.plan.retry_constant,
                    folder=self._folder,
                    mutant=self._mutant,
                    source_root=self._source_root,
                )
            )

    async def _start_store_listener(self, address: str) -> None:
        outages = {table: Overlap('') for table in ('', *STORE_TABLES)}
        self._outages.update({(address, table): held for table, held in outages.items()})

        async def respond(request: Request, writer: ResponseWriter) -> None:
            affecting = [outages[table] for table in {'', find_table(request)} & set(outages)]

            def find_outage() -> str:
                return next(filter(None, (held.current for held in affecting)), '')

            await self.store.respond(request, writer, find_outage)

        listener = Listener(address, respond, limits=HttpLimits, is_stopping=bool)
        await self._nursery.start(listener.run)

    async def _poll_readiness(self, instance: InstanceProcess) -> None:
        """Keeps `ready` up to date as a load balancer does.

        An instance is removed after two failed checks in a row.
        """
        misses = 0
        while True:
            misses = 0 if await instance.is_ready() else misses + 1
            if not misses:
                self.ready.add(instance.name)
            elif misses == 2:
                self.ready.discard(instance.name)
            await trio.sleep(_POLL_SECONDS)

    async def _restart_ended(self, instance: InstanceProcess) -> None:
        """Records each process that ends by itself, and starts the instance again."""
        while True:
            await trio.sleep(_POLL_SECONDS)
            process = instance.process
            if process is None or process.poll() is None or instance.is_end_expected:
                continue
            self.history.own_ends.append(
                OwnEnd(
                    instance=instance.name,
                    incarnation=instance.incarnation,
                    seen_at=trio.current_time(),
                    exit_code=process.returncode,
                )
            )
            instance.start()
