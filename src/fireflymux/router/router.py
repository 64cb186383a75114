"""The components of a router, which accepts the requests of callers and sends them to sidecars.

`Router` holds them and applies the limits of contracts; `router_app` serves them.
"""

import random
import uuid

import httpx
import trio

from .._settings_generated import RouterSettings
from ..decisions.crash_registry import CrashRegistry
from ..decisions.limits import RateLimiter, divide_limit
from ..decisions.service_totals import ServiceTotals
from ..errors import CallFailure, ErrorKind
from ..messages import TotalsSnapshot
from ..observability.metrics import Metrics
from ..observability.tracing import create_tracer
from ..settings import ProcessSettings
from ..store.config_reader import ConfigReader
from ..store.configuration import Configuration
from ..store.platform_client import PlatformClients
from ..web.http_clients import FleetClients, create_platform_client
from ..wire import codec
from ..wire.control_bytes import count_control_bytes
from .backlog import Backlog
from .caller_requests import CallerRequest
from .dispatch import DispatchContext, Dispatcher
from .peers import PeerContext, PeerDirectory
from .placement import Placer
from .run_client import RunClient


class Router:
    """The objects of one router process.

    Attributes:
        incarnation: ID of the process, new with each start.
        is_stopping: Whether the router is shutting down and refuses new requests.
        active_requests: Number of requests that are being handled or streamed back.
    """

    def __init__(self, settings: ProcessSettings, router_settings: RouterSettings) -> None:
        """Creates the objects from the settings.

        Args:
            settings: Settings of the process.
            router_settings: Section [router] of the settings.
        """
        self.incarnation = uuid.uuid4().hex
        self.settings = settings
        self.router_settings = router_settings
        self.metrics = Metrics()
        self.configuration = Configuration()
        self.totals = ServiceTotals(clock=trio.current_time)
        self.crashes = CrashRegistry(clock=trio.current_time)
        self.tracer = create_tracer(
            settings.observability.trace_file,
            instance=settings.instance.name,
        )
        self.is_stopping = False
        self.active_requests = 0
        self._fleet_clients = FleetClients(settings.fleet, settings.tls)
        self._platform_client = create_platform_client(settings.platform, settings.tls)
        self.platform = PlatformClients.from_settings(settings.platform, self._platform_client)
        self.backlog = Backlog(get_concurrency_limit=self._get_concurrency_limit)
        self.rate_limiter = RateLimiter(
            maximum_routers=settings.fleet.maximum_routers,
            clock=trio.current_time,
        )
        self.config_reader = ConfigReader(
            self.configuration,
            platform=self.platform,
            fleet_clients=self._fleet_clients,
            routers=self._list_routers,
            metrics=self.metrics,
        )
        self.peers = PeerDirectory(
            PeerContext(
                router_id=self.incarnation,
                fleet_clients=self._fleet_clients,
                live_list=self.platform.live,
                configuration=self.configuration,
                totals=self.totals,
                crashes=self.crashes,
                backlog=self.backlog,
                metrics=self.metrics,
                rng=random.Random(),
                totals_interval_seconds=settings.fleet.totals_interval_seconds,
                heartbeat_interval_seconds=settings.fleet.heartbeat_interval_seconds,
                fanout=router_settings.reservation_fanout,
                routers_per_sidecar=router_settings.routers_per_sidecar,
                live_poll_interval_seconds=settings.fleet.live_poll_interval_seconds,
            )
        )
        self.run_client = RunClient(self._fleet_clients, self.peers, self.metrics)
        rng = random.Random()
        self.placer = Placer(self.backlog, self.peers, rng=rng)
        self.dispatcher = Dispatcher(
            DispatchContext(
                router_id=self.incarnation,
                peers=self.peers,
                placer=self.placer,
                crashes=self.crashes,
                run_client=self.run_client,
                metrics=self.metrics,
                rng=rng,
                retry_limit=router_settings.retry_limit,
                get_config_version=lambda: self.configuration.version,
            )
        )

    @classmethod
    def from_settings(cls, settings: ProcessSettings) -> 'Router':
        """Creates a router.

        Args:
            settings: Settings with a section [router].

        Returns:
            The router; `start_tasks` starts its background tasks.

        Raises:
            ValueError: The settings have no section [router].
        """
        if settings.router is None:
            raise ValueError('the settings have no section [router]')
        return cls(settings, settings.router)

    async def start_tasks(self, nursery: trio.Nursery, address: str) -> None:
        """Starts the background tasks.

        Args:
            nursery: Nursery that the tasks run in.
            address: URL of this router.
        """
        nursery.start_soon(self._read_configuration)
        nursery.start_soon(self.peers.run, address)
        nursery.start_soon(self._poll_totals)

    def check_readiness(self) -> CallFailure | None:
        """Checks whether the load balancer may send requests to this router.

        Returns:
            Why it may not, or None if it may.
        """
        if self.is_stopping:
            return CallFailure(ErrorKind.shutting_down)
        if self.configuration.version == 0:
            return CallFailure(ErrorKind.configuration_unavailable)
        return None

    def admit(self, caller_request: CallerRequest) -> CallFailure | None:
        """Applies the limits of the contract to a new request.

        Args:
            caller_request: The validated request.

        Returns:
            Why the request is refused, or None if it is admitted.
        """
        contract = caller_request.contract
        if caller_request.pool not in contract.pools:
            if caller_request.pool in self.peers.pools:
                return CallFailure(ErrorKind.pool_not_allowed)
            return CallFailure(ErrorKind.pool_unknown)
        if caller_request.pool not in self.peers.pools:
            return CallFailure(ErrorKind.endpoint_unreachable, 'the pool has no endpoint')
        if not self.rate_limiter.try_take(contract):
            return CallFailure(ErrorKind.rate_exceeded)
        queue_limit = divide_limit(contract.queue_length, self.settings.fleet.maximum_routers)
        if self.backlog.count_waiting(contract.account) >= queue_limit:
            return CallFailure(ErrorKind.queue_full)
        return None

    def _get_concurrency_limit(self, account: str) -> int:
        contract = self.configuration.contracts.get(account)
        # An account without a known contract may run one request at a time.
        if contract is None:
            return 1
        return divide_limit(contract.concurrency, self.settings.fleet.maximum_routers)

    def _list_routers(self) -> list[str]:
        return list({*self.settings.peer_routers, *self.peers.router_addresses})

    async def _read_configuration(self) -> None:
        await self.config_reader.run(
            self.settings.fleet.config_poll_interval_seconds,
            read=self.config_reader.read_platform_first,
        )

    async def _poll_totals(self) -> None:
        """Periodically fetches service totals (normalized cost) from another router.

        They include those of sidecars with which this router exchanges no heartbeats.
        """
        interval = self.settings.fleet.totals_interval_seconds
        await trio.sleep(self.settings.fleet.live_poll_interval_seconds)
        while True:
            self.totals.retire_silent(self.peers.may_report)
            addresses = self._list_routers()
            random.shuffle(addresses)
            for address in addresses:
                if await self._fetch_totals(address):
                    break
            await trio.sleep(interval)

    async def _fetch_totals(self, address: str) -> bool:
        try:
            response = await self._fleet_clients.to(address).get(
                '{0}/v1/totals'.format(address), timeout=1
            )
            response.raise_for_status()
            snapshot = codec.decode(response.content, TotalsSnapshot)
        except (httpx.HTTPError, codec.DecodeError):
            return False
        count_control_bytes(self.metrics, response)
        self.totals.merge_snapshot(snapshot)
        return True
