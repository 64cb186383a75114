"""The components of a sidecar, which admits, meters and monitors the calls to one endpoint.

`Sidecar` holds them and decides whether new requests are admitted; `sidecar_app` serves them.
"""

import random
import uuid
from collections.abc import Iterable

import httpx
import trio

from .._settings_generated import SidecarSettings
from ..decisions.account_shares import AccountShares
from ..decisions.admission_window import AdmissionWindow
from ..decisions.crash_registry import CrashRegistry
from ..decisions.endpoint_backoff import EndpointBackoff
from ..decisions.reservations import Reservations
from ..errors import CallFailure, ErrorKind
from ..messages import GrantOffer, GrantReply, Heartbeat, HeartbeatReply
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..observability.tracing import create_tracer
from ..settings import ProcessSettings
from ..store.config_reader import ConfigReader
from ..store.configuration import Configuration
from ..store.group_commit import GroupCommitter
from ..store.platform_client import PlatformClients
from ..web.http_clients import (
    FLEET_REQUEST_TIMEOUT_SECONDS,
    FleetClients,
    create_endpoint_client,
    create_platform_client,
)
from ..wire import codec, headers
from ..wire.totals_table import pack_totals, unpack_totals
from .claims import ClaimStore
from .endpoint_call import EndpointClient
from .engine_orders import EngineTarget, ModelLoader, PortLock
from .grants import GrantScheduler, SidecarIdentity
from .sidecar_runs import RunContext, SidecarRuns

_log = get_logger(__name__)
_CONFIG_READ_INTERVAL_SECONDS = 1.0
#: Time for which requests are still admitted while a newer configuration version is fetched, so
#: that a change does not interrupt admission.
_VERSION_LAG_GRACE_SECONDS = 0.5
#: Requests are admitted only if the configuration was confirmed within this time.
MAXIMUM_CONFIRMATION_AGE_SECONDS = 2.5
#: Number of heartbeat intervals without a heartbeat after which a router's reservations expire.
_MISSED_HEARTBEAT_LIMIT = 5
_MILLISECONDS_PER_SECOND = 1000


class Sidecar:
    """Components and state of a sidecar process.

    The incarnation identifies the process: a sidecar that is restarted gets a new one.
    """

    def __init__(self, settings: ProcessSettings, sidecar_settings: SidecarSettings) -> None:
        """Creates the components.

        Args:
            settings: Settings of the process.
            sidecar_settings: Section [sidecar] of the settings.
        """
        self.incarnation = uuid.uuid4().hex
        self.settings = settings
        self.sidecar_settings = sidecar_settings
        self.metrics = Metrics()
        self.configuration = Configuration()
        self.tracer = create_tracer(
            settings.observability.trace_file,
            instance=settings.instance.name,
        )
        self.is_stopping = False
        self.newest_heard_version = 0
        self._newest_version_heard_at = float('-inf')
        self._fleet_clients = FleetClients(settings.fleet, settings.tls)
        self._platform_client = create_platform_client(settings.platform, settings.tls)
        self._endpoint_client = create_endpoint_client(settings.tls)
        self.platform = PlatformClients.from_settings(settings.platform, self._platform_client)
        self.reservations = Reservations(
            clock=trio.current_time,
            expiry_seconds=settings.fleet.heartbeat_interval_seconds * _MISSED_HEARTBEAT_LIMIT,
        )
        self.shares = AccountShares(
            sidecar_settings.pool,
            self.configuration.weight_of,
            clock=trio.current_time,
            idle_seconds=settings.fleet.totals_interval_seconds,
        )
        self.window = AdmissionWindow(
            sidecar_settings.slots,
            target_seconds=sidecar_settings.first_token_target_milliseconds
            / _MILLISECONDS_PER_SECOND,
            clock=trio.current_time,
        )
        self.endpoint_backoff = EndpointBackoff(clock=trio.current_time)
        self.crashes = CrashRegistry(clock=trio.current_time)
        self._group_committer = GroupCommitter(self.platform.table, self.metrics)
        self._claims = ClaimStore(
            self.incarnation, self.platform, self._group_committer, self.metrics
        )
        self.config_reader = ConfigReader(
            self.configuration,
            platform=self.platform,
            fleet_clients=self._fleet_clients,
            routers=self.list_routers,
            metrics=self.metrics,
        )
        self.identity = SidecarIdentity(sidecar_id=self.incarnation, pool=sidecar_settings.pool)
        self.scheduler = self._build_scheduler()
        self.model_loader = self._build_model_loader()
        self.runs = self._build_runs()

    @classmethod
    def from_settings(cls, settings: ProcessSettings) -> 'Sidecar':
        """Creates a sidecar from settings that must have a section [sidecar].

        Args:
            settings: Settings of the process.

        Returns:
            The sidecar, which is not listening yet.

        Raises:
            ValueError: The section is missing.
        """
        if settings.sidecar is None:
            raise ValueError('the settings have no section [sidecar]')
        return cls(settings, settings.sidecar)

    def list_routers(self) -> Iterable[str]:
        """Lists the routers that can be asked for the configuration.

        Returns:
            URLs of the routers that send heartbeats and of those in the settings, in random
            order to spread the load.
        """
        addresses = list({*self.reservations.addresses(), *self.settings.peer_routers})
        random.shuffle(addresses)
        return addresses

    def check_admission(self) -> CallFailure | None:
        """Checks whether new requests may start on the endpoint.

        Returns:
            Why they may not, or None if they may.
        """
        if self.is_stopping:
            return CallFailure(ErrorKind.sidecar_leaving, 'the sidecar is shutting down')
        if self.configuration.is_leaving(self.sidecar_settings.endpoint):
            return CallFailure(ErrorKind.sidecar_leaving, 'the endpoint is announced as leaving')
        if self.configuration.version == 0:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'no configuration')
        if self.model_loader.is_load_pending:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'an order to the engine is pending')
        if self.endpoint_backoff.is_backing_off:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'the endpoint takes no calls')
        if self._is_behind():
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'a newer configuration exists')
        if self.config_reader.confirmed_seconds_ago > MAXIMUM_CONFIRMATION_AGE_SECONDS:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'the confirmation is too old')
        return None

    def accept_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Applies the reservations, totals of normalized cost and crash verdicts of a router.

        Args:
            heartbeat: Heartbeat of the router.

        Returns:
            The state of this sidecar for the router.
        """
        self._record_config_version(heartbeat)
        if heartbeat.totals is not None:
            self.shares.merge_others(unpack_totals(heartbeat.totals, self.sidecar_settings.pool))
        self.reservations.replace(heartbeat)
        self.crashes.merge(heartbeat.verdicts)
        self.scheduler.notify()
        refused = self.check_admission()
        return HeartbeatReply(
            sidecar=self.incarnation,
            endpoint=self.sidecar_settings.endpoint,
            config_version=self.configuration.version,
            free_slots=0 if refused else self.scheduler.free_slots,
            leaving=refused is not None and refused.kind is ErrorKind.sidecar_leaving,
            totals=None if heartbeat.totals is None else pack_totals(self.shares.report()),
            verdicts=self.crashes.list_verdicts(),
        )

    async def send_offer(self, address: str, offer: GrantOffer) -> GrantReply | None:
        """Sends the offer of a slot to a router.

        Args:
            address: URL of the router.
            offer: The offer.

        Returns:
            The reply, or None if there was no valid one in time.
        """
        try:
            response = await self._fleet_clients.to(address).post(
                '{0}/v1/grants'.format(address),
                content=codec.encode(offer),
                headers={'Content-Type': headers.JSON},
                timeout=FLEET_REQUEST_TIMEOUT_SECONDS,
            )
            if response.is_success:
                return codec.decode(response.content, GrantReply)
        except (httpx.HTTPError, codec.DecodeError) as error:
            _log.debug('offer_failed', router=address, reason=repr(error))
        return None

    async def start_tasks(self, nursery: trio.Nursery) -> None:
        """Starts the background tasks.

        Args:
            nursery: Nursery for the tasks.
        """
        nursery.start_soon(self.scheduler.run)
        nursery.start_soon(self.runs.expire_runs)
        nursery.start_soon(self._group_committer.run)
        nursery.start_soon(self.model_loader.run)
        nursery.start_soon(self._claims.run)
        nursery.start_soon(self._read_configuration)

    def _build_scheduler(self) -> GrantScheduler:
        return GrantScheduler(
            self.identity,
            shares=self.shares,
            reservations=self.reservations,
            window=self.window,
            check_admission=self.check_admission,
            send_offer=self.send_offer,
            metrics=self.metrics,
        )

    def _build_model_loader(self) -> ModelLoader:
        return ModelLoader(
            EngineTarget(
                self.sidecar_settings.endpoint,
                self.sidecar_settings.endpoint_url,
                self.incarnation,
            ),
            table=self.platform.table,
            client=self._endpoint_client,
            lock=PortLock(self.sidecar_settings.order_lock_port),
            desired_model=self._desired_model,
            is_idle=lambda: self.scheduler.used_slots == 0,
        )

    def _build_runs(self) -> SidecarRuns:
        return SidecarRuns(
            RunContext(
                scheduler=self.scheduler,
                shares=self.shares,
                window=self.window,
                claims=self._claims,
                endpoint=EndpointClient(
                    self._endpoint_client,
                    self.sidecar_settings.endpoint_url,
                    check=self.check_admission,
                    prompt_token_weight=self.sidecar_settings.prompt_token_weight,
                    cost_per_second=self.sidecar_settings.cost_per_second,
                ),
                metrics=self.metrics,
                tracer=self.tracer,
                crashes=self.crashes,
                backoff=self.endpoint_backoff,
                is_engine=self.sidecar_settings.kind == 'engine',
                retention_seconds=self.sidecar_settings.resume_seconds,
                maximum_answer_bytes=self.sidecar_settings.maximum_answer_bytes,
            )
        )

    def _record_config_version(self, heartbeat: Heartbeat) -> None:
        if self._is_heard_version_refuted():
            self.newest_heard_version = self.configuration.version
        if heartbeat.config_version > self.newest_heard_version:
            self.newest_heard_version = heartbeat.config_version
            self._newest_version_heard_at = trio.current_time()
        if heartbeat.config_version > self.configuration.version:
            self.config_reader.request_read(heartbeat.address)

    def _is_behind(self) -> bool:
        """Tells whether a newer configuration has not been loaded within the grace time."""
        if self.configuration.version >= self.newest_heard_version:
            return False
        if self._is_heard_version_refuted():
            return False
        return trio.current_time() - self._newest_version_heard_at > _VERSION_LAG_GRACE_SECONDS

    def _is_heard_version_refuted(self) -> bool:
        """Tells whether the replica has matched the platform since the newest version was heard.

        A heard version that it still lacks is not one that was committed.
        """
        heard_seconds_ago = trio.current_time() - self._newest_version_heard_at
        return self.config_reader.age_seconds < heard_seconds_ago

    def _desired_model(self) -> str:
        announcement = self.configuration.endpoints.get(self.sidecar_settings.endpoint)
        return announcement.model if announcement else ''

    async def _read_configuration(self) -> None:
        """Reads the configuration regularly and wakes the scheduler after each read."""

        async def read() -> None:
            await self.config_reader.read_routers_first()
            self.scheduler.notify()

        await self.config_reader.run(_CONFIG_READ_INTERVAL_SECONDS, read=read)
