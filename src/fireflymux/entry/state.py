"""What one entry instance believes: configuration, endpoints, loads and usage."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection

import attrs
import trio

from .._settings_generated import EntrySettings
from ..decisions.crash_counts import CrashCounts
from ..decisions.ejection import EndpointRecord, eject_outliers
from ..decisions.endpoint_health import EndpointHealth
from ..decisions.fair_shares import FairShares
from ..decisions.loads import FleetLoads
from ..decisions.membership import Endpoint, Membership
from ..decisions.placing_policy import DEFAULT_POLICY, PlacingPolicy
from ..decisions.prompts import PrefixCache
from ..decisions.reading import FirstEventModel, StayModel
from ..decisions.retry_allowance import RetryAllowance
from ..decisions.returning import RefusedRequests
from ..decisions.routes import Configuration, Service
from ..decisions.store_version import StoreVersion
from ..http.connection_pool import ConnectionPool, ServerLinks
from ..observability.logs import get_logger

_log = get_logger(__name__)
_CONNECT_TIMEOUT_SECONDS = 0.4
#: Part of an engine's memory that holds prompts which may be read again.
_PREFIX_CACHE_PART = 0.75
#: Speed assumed where the configuration states no rate, in prompt tokens a second.
_DEFAULT_TOKENS_PER_SECOND = 60000.0
#: How much faster engines read prompts than the rate that the configuration states.
_PROMPT_SPEED_FACTOR = 1.6
#: Part of an endpoint's connections that all instances together keep open without a request.
_IDLE_CONNECTIONS_PART = 0.5
#: How long the endpoints that may be given work are taken to be the same.
_CANDIDATES_CACHE_SECONDS = 0.02
#: Instances that may run at once for each that was seen, replacements included.
_INSTANCES_FACTOR = 2


@attrs.define(eq=False, kw_only=True)
class LiveEndpoint:
    """One endpoint with what this instance keeps about it.

    Attributes:
        endpoint: Its entry in the store's list.
        number: Number that instances name it by among themselves.
        pool: Connections to it.
        record: How its requests went.
        cache: Prompt parts that it is believed to keep.
        first_event_model: Predicts its first events.
    """

    endpoint: Endpoint
    number: int
    pool: ServerLinks
    record: EndpointRecord
    cache: PrefixCache
    first_event_model: FirstEventModel

    def is_available(self, now: float) -> bool:
        """Tells whether it may be given new work.

        Args:
            now: Time in seconds.

        Returns:
            Whether it is neither leaving nor held back.
        """
        if self.record.reachability.is_paused:
            return False
        return self.record.ejected_until <= now and self.takes_work(now)

    def takes_work(self, now: float) -> bool:
        """Tells whether it may be given work where no other endpoint is left.

        Args:
            now: Time in seconds.

        Returns:
            Whether it neither leaves nor asked for a rest.
        """
        return not self.endpoint.is_leaving and self.record.rests_until <= now


@attrs.define(frozen=True)
class _CachedCandidates:
    """Endpoints of one service that may be given work.

    Attributes:
        endpoints: The endpoints.
        valid_until: Time until which they are taken to be the same, in seconds.
    """

    endpoints: list[LiveEndpoint]
    valid_until: float


def _open_pool(endpoint: Endpoint) -> ServerLinks:
    return ConnectionPool(
        endpoint.host, endpoint.port, connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS
    )


class EntryState:
    """Beliefs of one entry instance, changed only between two steps of its tasks.

    Attributes:
        policy: How prompts are placed.
        configuration: Configuration in force; None before the first one.
        configuration_row: Its row in the store, for other instances.
        members: Endpoints in the store's list.
        member_rows: Their rows in the store, for other instances.
        members_version: Version of the store that the list is of.
        is_listed: Whether the list of endpoints was read.
        loads: Work outstanding on endpoints.
        shares: Tokens that accounts asked for and were given.
        crashes: Requests that broke off.
        refused_requests: Requests that were refused and may come back.
        unreported_placements: Prompts sent since the last report to other instances.
        instances: Addresses of other entry instances by name.
        stays: How long requests occupy a slot, by service.
        store_answers: Time of the store's last answer by followed table, in seconds.
        is_stopping: Whether the instance is shutting down: it isn't ready, and connections
            end after their current answer.
        is_closing: Whether it takes no new request any more.
    """

    def __init__(
        self,
        settings: EntrySettings,
        rng: random.Random,
        *,
        policy: PlacingPolicy = DEFAULT_POLICY,
        open_pool: Callable[[Endpoint], ServerLinks] = _open_pool,
    ) -> None:
        """Starts knowing nothing.

        Args:
            settings: Section [entry].
            rng: Source of random choices.
            policy: How prompts are placed.
            open_pool: Returns the connections to an endpoint.
        """
        self.policy = policy
        self._open_pool = open_pool
        self.settings = settings
        self.rng = rng
        self.configuration: Configuration | None = None
        self.configuration_row = b''
        self.members = Membership()
        self.member_rows: dict[str, bytes] = {}
        self.members_version = StoreVersion()
        self.is_listed = False
        self.loads = FleetLoads()
        self.shares = FairShares(settings.share_window_seconds)
        self.crashes = CrashCounts()
        self.refused_requests = RefusedRequests()
        self.unreported_placements: list[list[int]] = []
        self.instances: dict[str, str] = {}
        self.store_answered_at: dict[str, float] = {}
        self.slot_durations: defaultdict[str, StayModel] = defaultdict(StayModel)
        self.is_stopping = False
        self.refuses_requests = False
        self._endpoints: dict[int, LiveEndpoint] = {}
        self._by_service: dict[str, list[LiveEndpoint]] = {}
        self._cached_candidates: dict[str, _CachedCandidates] = {}
        self._retry_allowances: dict[str, RetryAllowance] = {}
        self._subscribers: list[Callable[[], None]] = []

    @property
    def host(self) -> str:
        """IP address that other instances reach this one at."""
        return self.settings.peer_advertised_host or self.settings.peer_host

    @property
    def is_ready(self) -> bool:
        """Whether the instance knows enough to serve."""
        return self.configuration is not None and self.is_listed and not self.is_stopping

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; zero before the first one."""
        return 0 if self.configuration is None else self.configuration.version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls a function after each change that may free an endpoint for work."""
        self._subscribers.append(callback)

    def notify(self) -> None:
        """Tells the subscribers that an endpoint may have become free."""
        for callback in self._subscribers:
            callback()

    def apply_configuration(self, configuration: Configuration, row: bytes, source: str) -> None:
        """Puts a configuration in force, unless a newer one is.

        Args:
            configuration: The configuration.
            row: Its row in the store.
            source: Where it came from, for the log.
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
        self.notify()

    def update_endpoints(self) -> None:
        """Takes over the list of endpoints after a change of `members`."""
        current = {
            endpoint.number: endpoint for endpoint in self.members.list_endpoints().values()
        }
        for number in set(self._endpoints) - set(current):
            gone = self._endpoints.pop(number)
            gone.pool.close()
            _log.info('endpoint_gone', endpoint=gone.endpoint.identifier)
        for number, endpoint in current.items():
            known = self._endpoints.get(number)
            if known is None:
                self._endpoints[number] = self._create_endpoint(number, endpoint)
                _log.info('endpoint_added', endpoint=endpoint.identifier, host=endpoint.host)
                continue
            if endpoint.is_leaving and not known.endpoint.is_leaving:
                _log.info('endpoint_leaving', endpoint=endpoint.identifier)
            known.endpoint = endpoint
        self._by_service = {}
        self._cached_candidates = {}
        for live in self._endpoints.values():
            self._by_service.setdefault(live.endpoint.service, []).append(live)
            self._limit_idle_connections(live)
        self.notify()

    def forget_instance(self, name: str) -> None:
        """Forgets what another instance reported, and its address."""
        self.instances.pop(name, None)
        self.shares.forget(name)
        self.crashes.forget(name)

    def list_endpoints(self, service: str | None = None) -> Collection[LiveEndpoint]:
        """Lists the endpoints of a service, or of all, those that take no work included."""
        return self._endpoints.values() if service is None else self._by_service.get(service, ())

    def find_endpoint(self, number: int) -> LiveEndpoint | None:
        """Finds an endpoint by its number."""
        return self._endpoints.get(number)

    def list_candidates(self, service: str, excluded: Collection[int]) -> list[LiveEndpoint]:
        """Lists the endpoints of a service that may be given new work.

        Args:
            service: Name of the service.
            excluded: Numbers of endpoints that must not be chosen again.

        Returns:
            Those not held back; if all are, those that neither leave nor asked for a rest.
        """
        if excluded:
            return self._find_candidates(service, excluded)
        now = trio.current_time()
        cached = self._cached_candidates.get(service)
        if cached is None or cached.valid_until <= now:
            cached = _CachedCandidates(
                self._find_candidates(service, ()), now + _CANDIDATES_CACHE_SECONDS
            )
            self._cached_candidates[service] = cached
        return cached.endpoints

    def record_connect_failure(self, live: LiveEndpoint) -> None:
        """Counts that an endpoint did not accept a connection."""
        live.record.reachability.record_failure()
        self._cached_candidates.clear()

    def record_result(self, live: LiveEndpoint, *, failed: bool) -> None:
        """Counts how a request went on an endpoint, and ejects it if it stands out.

        Args:
            live: The endpoint.
            failed: Whether the request failed there.
        """
        live.record.record(failed=failed)
        if not failed:
            live.record.reachability.record_success()
            return
        self._cached_candidates.clear()
        others = self._by_service.get(live.endpoint.service, ())
        for record in eject_outliers([entry.record for entry in others], trio.current_time()):
            _log.warning(
                'endpoint_ejected',
                endpoint=live.endpoint.identifier,
                until=round(record.ejected_until, 1),
            )

    def get_retry_allowance(self, service: str) -> RetryAllowance:
        """Returns the bound on repeats for a service."""
        allowance = self._retry_allowances.get(service)
        if allowance is None:
            allowance = RetryAllowance(
                ratio=self.settings.retry_ratio,
                window_seconds=self.settings.retry_window_seconds,
                constant=self.settings.retry_constant,
                instances=_INSTANCES_FACTOR * (1 + len(self.instances)),
            )
            self._retry_allowances[service] = allowance
        return allowance

    def _find_candidates(self, service: str, excluded: Collection[int]) -> list[LiveEndpoint]:
        now = trio.current_time()
        listed = [
            live
            for live in self._by_service.get(service, ())
            if live.number not in excluded and live.takes_work(now)
        ]
        return [live for live in listed if live.is_available(now)] or listed

    def _create_endpoint(self, number: int, endpoint: Endpoint) -> LiveEndpoint:
        service = self._find_service(endpoint.service)
        cache_tokens = 0
        if service is not None and service.engine is not None:
            cache_tokens = int(service.engine.cache_tokens * _PREFIX_CACHE_PART)
        return LiveEndpoint(
            endpoint=endpoint,
            number=number,
            pool=self._open_pool(endpoint),
            record=EndpointRecord(EndpointHealth(clock=trio.current_time)),
            cache=PrefixCache(cache_tokens),
            first_event_model=FirstEventModel(self._estimate_speed(endpoint.service)),
        )

    def _limit_idle_connections(self, live: LiveEndpoint) -> None:
        """Bounds the idle connections to an endpoint, which takes only so many of all callers."""
        service = self._find_service(live.endpoint.service)
        if service is None or not service.maximum_connections:
            return
        part = _IDLE_CONNECTIONS_PART * service.maximum_connections / (1 + len(self.instances))
        live.pool.maximum_idle = max(int(part), 1)

    def _find_service(self, name: str) -> Service | None:
        return None if self.configuration is None else self.configuration.services.get(name)

    def _estimate_speed(self, service: str) -> float:
        engines = sum(
            endpoint.service == service for endpoint in self.members.list_endpoints().values()
        )
        if self.configuration is None or not self.configuration.limits.fleet_tokens_per_second:
            return _DEFAULT_TOKENS_PER_SECOND
        rate = self.configuration.limits.fleet_tokens_per_second
        return _PROMPT_SPEED_FACTOR * rate / max(engines, 1)
