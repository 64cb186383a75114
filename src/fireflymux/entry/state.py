"""State of one entry instance: configuration, endpoints, their load, and usage of accounts.

The state holds what the instance has learned from the store, from its own requests and from the
reports of the other instances. It can be out of date for a moment, so decisions based on it are
predictions.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable

import trio

from .._settings_generated import EntrySettings
from ..decisions.crash_counts import CrashCounts
from ..decisions.ejection import eject_outliers
from ..decisions.entry_configuration import Configuration, Service
from ..decisions.fair_shares import FairShares
from ..decisions.first_event_model import SlotTimeModel
from ..decisions.loads import FleetLoads
from ..decisions.membership import Endpoint, Membership
from ..decisions.part_crashes import PartCrashes
from ..decisions.placing_policy import DEFAULT_POLICY, PlacingPolicy
from ..decisions.refused_requests import RefusedRequests
from ..decisions.store_version import StoreVersion
from ..decisions.table_ages import TableAges
from ..http.connection_pool import UpstreamPool
from ..observability.logs import get_logger
from ..platform.configuration_row import CONFIGURATION_TABLE
from ..platform.endpoint_row import ENDPOINT_TABLE
from .candidates import Candidates
from .endpoint_crashes import record_endpoint_gone
from .live_endpoint import LiveEndpoint, apply_capacity, create_live_endpoint, open_pool

_log = get_logger(__name__)
#: Tables of the store that instances follow.
FOLLOWED_TABLES = (CONFIGURATION_TABLE, ENDPOINT_TABLE)
#: Fraction of an endpoint's connections that all instances together may keep idle.
_IDLE_CONNECTIONS_FRACTION = 0.5


class EntryState:
    """State of one entry instance, shared by its tasks.

    Tasks change it without a checkpoint within a change, so that none sees a change half made.

    Attributes:
        policy: How prompts are placed on engines.
        configuration: Active configuration; None before the first one.
        configuration_row: Its row in the store as received, to hand out to other instances.
        members: The list of endpoints: the store's table of endpoints, decoded. Endpoints that
            were seen leaving or removed count as such, even if the table does not say so.
        member_rows: Rows of that table as received, by endpoint identifier, to hand out to other
            instances.
        members_version: Version of the store that the list of endpoints was read at.
        has_endpoint_list: Whether a list of endpoints was received at all.
        candidates: Selects the endpoints that may get requests; has the evacuated failure domains
            and the endpoints that are warming up.
        loads: Outstanding work of each endpoint, over all instances.
        shares: Demand and usage of each account, over all instances.
        part_crashes: Finds the parts of prompts that crash endpoints, by `Call.part_fingerprints`.
        refused_requests: Recently refused requests, which callers may send again, by
            `Call.checksum`; the class calls that digest a fingerprint.
        unreported_placements: Placed prompts that no report has named yet, encoded for the
            reports: number of the endpoint, then identifier and tokens of each prompt part. Not
            to be confused with `Placement`, the choice of an endpoint for a request.
        instances: IP addresses of the other entry instances, by name.
        slot_time_models: Estimates of how long a request occupies a slot, by service.
        table_ages: When each followed table of the store was last known to be current.
        is_stopping: Whether the instance is shutting down: it reports itself as not ready, and
            closes connections after their current response.
        refuses_requests: Whether it refuses new requests, in the last phase of the shutdown.
    """

    def __init__(
        self,
        settings: EntrySettings,
        rng: random.Random,
        *,
        policy: PlacingPolicy = DEFAULT_POLICY,
        open_pool: Callable[[Endpoint], UpstreamPool] = open_pool,
    ) -> None:
        """Creates the state of an instance that has received nothing yet.

        Args:
            settings: Section [entry] of the settings.
            rng: Source of random choices.
            policy: How prompts are placed on engines.
            open_pool: Creates the pool of connections to an endpoint.
        """
        self.policy = policy
        self._open_pool = open_pool
        self.settings = settings
        self.instances: dict[str, str] = {}
        self.rng = rng
        self.configuration: Configuration | None = None
        self.configuration_row = b''
        self.members = Membership()
        self.member_rows: dict[str, bytes] = {}
        self.members_version = StoreVersion()
        self.has_endpoint_list = False
        self.candidates = Candidates(
            settings,
            list_endpoints=self.list_endpoints,
            find_service=self._find_service,
            list_instances=self.instances.keys,
        )
        self.loads = FleetLoads()
        self.shares = FairShares(settings.share_window_seconds)
        self.part_crashes = PartCrashes(CrashCounts())
        self.refused_requests = RefusedRequests()
        self.unreported_placements: list[list[int]] = []
        self.table_ages = TableAges(FOLLOWED_TABLES)
        self.slot_time_models: defaultdict[str, SlotTimeModel] = defaultdict(SlotTimeModel)
        self.is_stopping = False
        self.refuses_requests = False
        self._endpoints: dict[int, LiveEndpoint] = {}
        self._by_service: dict[str, list[LiveEndpoint]] = {}
        self._subscribers: list[Callable[[], None]] = []

    @property
    def host(self) -> str:
        """IP address at which the other instances reach this one."""
        return self.settings.peer_advertised_host or self.settings.peer_host

    @property
    def crashes(self) -> CrashCounts:
        """Counts of crashes, by `Call.fingerprint` and `Call.part_fingerprints` of requests."""
        return self.part_crashes.counts

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and a list of endpoints, and is not shutting down."""
        return self.configuration is not None and self.has_endpoint_list and not self.is_stopping

    @property
    def configuration_version(self) -> int:
        """Version of the active configuration; zero before the first one."""
        return 0 if self.configuration is None else self.configuration.version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a function to call after each change that may let a waiting request go."""
        self._subscribers.append(callback)

    def notify(self) -> None:
        """Calls the subscribers, since an endpoint may have become free."""
        for callback in self._subscribers:
            callback()

    def apply_configuration(self, configuration: Configuration, row: bytes, source: str) -> None:
        """Activates a configuration that is newer than the active one.

        Args:
            configuration: The configuration; ignored if it is not newer.
            row: Its row in the store.
            source: Where it came from, for the log: the store, or the host of an instance.
        """
        if configuration.version <= self.configuration_version:
            return
        _log.info(
            'configuration_in_force',
            version=configuration.version,
            previous=self.configuration_version,
            source=source,
            hosts=len(configuration.routes),
        )
        self.configuration = configuration
        self.configuration_row = row
        for live in self._endpoints.values():
            self._limit_idle_connections(live)
        self._apply_capacity(self._endpoints.values())
        self.notify()

    def update_endpoints(self) -> None:
        """Adds, removes and updates endpoints after a change of `members`."""
        current = {
            endpoint.number: endpoint for endpoint in self.members.list_endpoints().values()
        }
        for number, known in list(self._endpoints.items()):
            # One at another address is another one: the connections lead to the address before.
            if number not in current or current[number].address != known.endpoint.address:
                self._endpoints.pop(number)
                self._drop_endpoint(known)
        for number, endpoint in current.items():
            self._update_endpoint(number, endpoint)
        self._by_service = {}
        for live in self._endpoints.values():
            self._by_service.setdefault(live.endpoint.service, []).append(live)
            self._limit_idle_connections(live)
        self.candidates.drop_cache()
        self.notify()

    def forget_instance(self, name: str) -> None:
        """Drops another instance's address, usage and crash counts; its loads expire anyway."""
        self.instances.pop(name, None)
        self.shares.forget(name)
        self.crashes.forget(name)

    def list_endpoints(self, service: str | None = None) -> Collection[LiveEndpoint]:
        """Lists all endpoints, or those of one service, whether or not they are available."""
        return self._endpoints.values() if service is None else self._by_service.get(service, ())

    def find_endpoint(self, number: int) -> LiveEndpoint | None:
        """Returns the endpoint with a number, or None if it is not listed."""
        return self._endpoints.get(number)

    def record_connect_failure(self, live: LiveEndpoint) -> None:
        """Records that an endpoint did not accept a connection, which starts its backoff.

        It may have ended and start again, so that it is assumed to warm up after the backoff.
        """
        backoff = live.record.connection_backoff
        backoff.record_failure()
        backoff_seconds = backoff.until - trio.current_time()
        self.candidates.warmups.record_possible(live, after_seconds=backoff_seconds)
        self.candidates.drop_cache()

    def record_result(self, live: LiveEndpoint, *, failed: bool) -> None:
        """Records the result of a request, and ejects endpoints that fail far more than others.

        Args:
            live: The endpoint that the request was sent to.
            failed: Whether the request failed there.
        """
        live.record.record(failed=failed)
        if not failed:
            live.record.connection_backoff.record_success()
            return
        self.candidates.drop_cache()
        of_service = self._by_service.get(live.endpoint.service, ())
        for record in eject_outliers([entry.record for entry in of_service], trio.current_time()):
            _log.warning(
                'endpoint_ejected',
                endpoint=live.endpoint.identifier,
                until=round(record.ejected_until, 1),
            )

    def _drop_endpoint(self, live: LiveEndpoint) -> None:
        live.pool.close()
        _log.info('endpoint_gone', endpoint=live.endpoint.identifier)
        record_endpoint_gone(self.part_crashes, live)

    def _update_endpoint(self, number: int, endpoint: Endpoint) -> None:
        """Adds an endpoint, or applies its new entry."""
        known = self._endpoints.get(number)
        if known is None:
            self._endpoints[number] = self._create_endpoint(number, endpoint)
            return
        # An entry that was read again says nothing new.
        if endpoint.warmup_seconds != known.endpoint.warmup_seconds:
            self.candidates.warmups.record(known, endpoint.warmup_seconds)
        if endpoint.is_leaving and not known.endpoint.is_leaving:
            _log.info('endpoint_leaving', endpoint=endpoint.identifier)
        known.endpoint = endpoint

    def _create_endpoint(self, number: int, endpoint: Endpoint) -> LiveEndpoint:
        """Creates the state of a newly listed endpoint."""
        live = create_live_endpoint(number, endpoint, self._open_pool(endpoint))
        self._apply_capacity((live,))
        domains = self.candidates.evacuations.list_domains(trio.current_time())
        live.is_evacuated = endpoint.failure_domain in domains
        self.candidates.warmups.record(live, endpoint.warmup_seconds)
        _log.info(
            'endpoint_added',
            endpoint=endpoint.identifier,
            host=endpoint.host,
            warmup=endpoint.warmup_seconds,
        )
        return live

    def _apply_capacity(self, endpoints: Iterable[LiveEndpoint]) -> None:
        """Applies the active configuration's capacity of engines to endpoints."""
        if self.configuration is None:
            return
        listed = self.members.list_endpoints().values()
        fleet_sizes = Counter(endpoint.service for endpoint in listed)
        for live in endpoints:
            apply_capacity(live, self.configuration, fleet_sizes[live.endpoint.service])

    def _limit_idle_connections(self, live: LiveEndpoint) -> None:
        """Limits the idle connections to an endpoint to this instance's share of its maximum."""
        service = self._find_service(live.endpoint.service)
        if service is None or not service.maximum_connections:
            return
        limit = (
            _IDLE_CONNECTIONS_FRACTION * service.maximum_connections / (1 + len(self.instances))
        )
        live.pool.maximum_idle_connections = max(int(limit), 1)

    def _find_service(self, name: str) -> Service | None:
        return None if self.configuration is None else self.configuration.services.get(name)
