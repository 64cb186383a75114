"""Configuration of an entry instance: routes, services, keys and limits of one version."""

import enum
import random
from collections.abc import Mapping

import attrs

#: Callers wait for the next event of a stream for the longest of these: a time, a multiple of
#: the target latency and a multiple of the pause that the route allows.
_MINIMUM_STALL_SECONDS = 2.0
_STALL_TARGET_MULTIPLE = 4.0
_STALL_PAUSE_MULTIPLE = 8.0
#: Time for a caller's own leave to arrive first, in seconds.
_STALL_MARGIN_SECONDS = 0.5


class Repeatability(enum.Enum):
    """What may be done again with a request of a route."""

    #: The request may run any number of times.
    idempotent = 'idempotent'
    #: The request runs once at most.
    once = 'once'
    #: The answer is a stream of events, made once at most.
    stream_once = 'stream_once'
    #: The answer is a stream of events that another endpoint may resume.
    stream_resumable = 'stream_resumable'

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {Repeatability.stream_once, Repeatability.stream_resumable}

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self in {Repeatability.idempotent, Repeatability.stream_resumable}


@attrs.define(frozen=True, kw_only=True)
class WeightedService:
    """One of the services that a route's requests are divided among."""

    service: str
    weight: float


@attrs.define(frozen=True, kw_only=True)
class Route:
    """Where the requests of a host below a path prefix go, and on what terms.

    Attributes:
        name: Name of the route in logs.
        host: Host name in lower case.
        prefix: Path prefix; begins and ends with a slash.
        services: Services by weight; at least one.
        repeatability: What may be done again.
        timeout_seconds: Longest time that a request may go without its whole answer.
        target_seconds: Latency within which an answer is on time.
        maximum_endpoints: Endpoints that one request may be sent to.
        is_public: Whether requests need no key.
        priority: Rank among the requests that wait for a service; 0 is the most urgent.
        pause_seconds: Longest pause between the events of a stream that is on time; zero if
            the route states none.
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

    @property
    def stall_seconds(self) -> float:
        """Time without an event after which a stream is broken off; infinite for no bound."""
        if not self.pause_seconds:
            return float('inf')
        caller_seconds = max(
            _MINIMUM_STALL_SECONDS,
            _STALL_TARGET_MULTIPLE * self.target_seconds,
            _STALL_PAUSE_MULTIPLE * self.pause_seconds,
        )
        return caller_seconds + _STALL_MARGIN_SECONDS

    def choose_service(self, rng: random.Random) -> str:
        """Chooses a service by weight.

        Args:
            rng: Source of the choice.

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
class EngineTerms:
    """What the engines of a service share.

    Attributes:
        slots: Requests that run at once on one engine.
        cache_tokens: Prompt tokens that fit into the memory of one engine.
    """

    slots: int
    cache_tokens: int


@attrs.define(frozen=True, kw_only=True)
class Service:
    """Endpoints that answer the same requests.

    Attributes:
        name: Name of the service.
        maximum_connections: Connections that one endpoint accepts from all callers.
        engine: Terms of its engines; None for a plain service.
    """

    name: str
    maximum_connections: int
    engine: EngineTerms | None


@attrs.define(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_seconds: Longest time for the head of a request.
        idle_seconds: Longest time that a connection stays open without a request.
        fleet_tokens_per_second: Tokens that all engines make a second, a prompt token counted
            once and a generated one twice; zero if not stated.
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
        version: Number of the version; a greater one replaces it.
        routes: Routes by host, then by prefix.
        services: Services by name.
        limits: Bounds on callers.
        accounts_by_key: Client account that holds each key; empty if keys aren't used.
        needs_keys: Whether requests of routes that aren't public need a key.
        account_priorities: Priorities of accounts that have one, in place of the routes'.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: CallerLimits
    accounts_by_key: Mapping[str, str]
    needs_keys: bool
    account_priorities: Mapping[str, int] = attrs.field(factory=dict)

    def find_priority(self, route: Route, account: str) -> int:
        """Finds the priority of an account's requests on a route; 0 is the most urgent."""
        return self.account_priorities.get(account, route.priority)

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route of the longest prefix that begins a path.

        Args:
            host: Host name in lower case, without a port.
            path: Path of the request, without its query.

        Returns:
            The route, or None if no prefix fits.
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
    """Arranges routes for `Configuration.find_route`.

    Args:
        routes: Routes of one version.

    Returns:
        The routes by host, then by prefix.
    """
    indexed: dict[str, dict[str, Route]] = {}
    for route in routes:
        indexed.setdefault(route.host, {})[route.prefix] = route
    return indexed
