"""Configuration of an entry instance: routes, services, keys and limits.

Each accepted version is one immutable `Configuration`.
"""

import enum
import random
from collections.abc import Mapping

import attrs

from .prefix_transfer import TransferRate

#: Callers give up on a stream without an event after the longest of these: a fixed time, a
#: multiple of the target latency, and a multiple of the pause that the route allows.
_MINIMUM_STALL_SECONDS = 2.0
_STALL_TARGET_MULTIPLE = 4.0
_STALL_PAUSE_MULTIPLE = 8.0
#: Margin in which a caller that gives up can disconnect before the instance breaks off.
_STALL_MARGIN_SECONDS = 0.5


class Repeatability(enum.Enum):
    """Whether a request of a route may run again, and whether its response is a stream."""

    #: The request may run any number of times.
    idempotent = 'idempotent'
    #: The request may run at most once.
    once = 'once'
    #: The response is a stream of events; the request may run at most once.
    stream_once = 'stream_once'
    #: The response is a stream of events that another endpoint can resume.
    stream_resumable = 'stream_resumable'

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in {Repeatability.stream_once, Repeatability.stream_resumable}

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again when it may have run already."""
        return self in {Repeatability.idempotent, Repeatability.stream_resumable}


@attrs.define(frozen=True, kw_only=True)
class WeightedService:
    """One of the services that share the requests of a route."""

    service: str
    weight: float


@attrs.define(frozen=True, kw_only=True)
class Route:
    """Which services get the requests for a host and path prefix, and their limits.

    Attributes:
        name: Name of the route in logs.
        host: Host name in lower case.
        prefix: Path prefix; begins and ends with a slash.
        services: Services with their weights; at least one.
        repeatability: Whether a request may run again.
        timeout_seconds: Maximum time from a request to the end of its response.
        target_seconds: Target latency of a response; for prompts, of its first event.
        maximum_endpoints: Maximum number of endpoints that one request may be sent to.
        is_public: Whether requests need no key.
        priority: Priority among the requests that wait for a service; 0 is the most urgent.
        pause_seconds: Target for the longest pause between two events of a stream; zero for
            none.
        regions: Regions whose endpoints may get its requests; None for all.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeatability: Repeatability
    timeout_seconds: float
    target_seconds: float
    maximum_endpoints: int
    is_public: bool
    priority: int = 0
    pause_seconds: float = 0.0
    regions: frozenset[str] | None = None

    @property
    def stall_seconds(self) -> float:
        """Time without an event after which a stream is broken off; infinite for no limit."""
        if not self.pause_seconds:
            return float('inf')
        caller_seconds = max(
            _MINIMUM_STALL_SECONDS,
            _STALL_TARGET_MULTIPLE * self.target_seconds,
            _STALL_PAUSE_MULTIPLE * self.pause_seconds,
        )
        return caller_seconds + _STALL_MARGIN_SECONDS

    def choose_service(self, rng: random.Random) -> str:
        """Chooses a service at random, by weight; the first one if all weights are zero.

        Args:
            rng: Source of randomness.

        Returns:
            Name of the service.
        """
        if len(self.services) == 1:
            return self.services[0].service
        weights = [entry.weight for entry in self.services]
        if not sum(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@attrs.define(frozen=True, kw_only=True)
class EngineCapacity:
    """Capacity of each engine of a service.

    Attributes:
        slots: Number of requests that run at once on one engine.
        cache_tokens: Number of prompt tokens that one engine can cache.
        transfer: How fast engines copy cached tokens from each other.
    """

    slots: int
    cache_tokens: int
    transfer: TransferRate = TransferRate()


@attrs.define(frozen=True, kw_only=True)
class Service:
    """A group of endpoints that serve the same requests; routers and sidecars call it a pool.

    Attributes:
        name: Name of the service.
        maximum_connections: Number of connections that one endpoint accepts in all.
        engine: Capacity of its engines; None for a plain service.
        warmup_seconds: How long its endpoints warm up after a start; zero if they do not.
        warmup_per_second: Requests a second that an endpoint bears while it warms up; zero for no
            limit.
    """

    name: str
    maximum_connections: int
    engine: EngineCapacity | None
    warmup_seconds: float = 0.0
    warmup_per_second: float = 0.0


@attrs.define(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on callers, and the stated capacity of the fleet.

    Attributes:
        header_bytes: Maximum size of the request target and the header fields together.
        body_bytes: Maximum size of a request body.
        header_seconds: Timeout from the first byte of a request to the end of its head.
        idle_seconds: Timeout of a connection that waits for a request, and of each pause
            within a request body.
        fleet_tokens_per_second: Throughput of all engines together, a prompt token counted once
            and a generated one twice; zero if not stated.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float
    fleet_tokens_per_second: float = 0.0


@attrs.define(frozen=True, kw_only=True)
class Configuration:
    """One accepted version of the configuration.

    Attributes:
        version: Number of the version; greater ones are newer.
        routes: Routes by host, then by prefix.
        services: Services by name.
        limits: Limits on callers.
        accounts_by_key: Client account of each key; empty if keys are not used.
        needs_keys: Whether requests need a key on routes that are not public.
        account_priorities: Priorities of accounts that override those of the routes.
        account_regions: Regions whose endpoints may get the requests of an account, where these
            are limited.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: CallerLimits
    accounts_by_key: Mapping[str, str]
    needs_keys: bool
    account_priorities: Mapping[str, int] = attrs.field(factory=dict)
    account_regions: Mapping[str, frozenset[str]] = attrs.field(factory=dict)

    def find_priority(self, route: Route, account: str) -> int:
        """Finds the priority of an account's requests on a route; 0 is the most urgent."""
        return self.account_priorities.get(account, route.priority)

    def find_regions(self, route: Route, account: str) -> frozenset[str] | None:
        """Finds the regions whose endpoints may get an account's requests on a route.

        Args:
            route: The route.
            account: Client account; empty for requests without a key.

        Returns:
            Names of the regions, empty if route and account exclude each other; None for all.
        """
        of_account = self.account_regions.get(account)
        if of_account is None or route.regions is None:
            return route.regions if of_account is None else of_account
        return of_account & route.regions

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that matches a path.

        Args:
            host: Host name in lower case, without a port.
            path: Path of the request, without its query.

        Returns:
            The route, or None if no prefix matches.
        """
        by_prefix = self.routes.get(host)
        if not by_prefix:
            return None
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route


def index_routes(routes: list[Route]) -> dict[str, dict[str, Route]]:
    """Builds the index of routes that `Configuration.find_route` uses.

    Args:
        routes: Routes of one version.

    Returns:
        The routes by host, then by prefix.
    """
    indexed: dict[str, dict[str, Route]] = {}
    for route in routes:
        indexed.setdefault(route.host, {})[route.prefix] = route
    return indexed
