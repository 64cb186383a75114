"""One listed endpoint as an entry instance uses it."""

import attrs
import trio

from ..decisions.ejection import EndpointRecord
from ..decisions.endpoint_backoff import EndpointBackoff
from ..decisions.entry_configuration import Configuration, Service
from ..decisions.first_event_model import FirstEventModel
from ..decisions.membership import Endpoint
from ..decisions.prompts import PrefixCache
from ..decisions.warmup import RequestPacer
from ..http.byte_budget import ByteBudget
from ..http.connection_pool import ConnectionPool, UpstreamPool

#: Fraction of an engine's cache assumed to hold prefixes that later prompts can reuse.
_PREFIX_CACHE_FRACTION = 0.75
#: Prompt tokens per second assumed for an engine where the configuration states no rate.
_DEFAULT_TOKENS_PER_SECOND = 60000.0
#: Ratio of an engine's prefill speed to its share of the rate that the configuration states.
_PROMPT_SPEED_FACTOR = 1.6
_CONNECT_TIMEOUT_SECONDS = 0.4


@attrs.define(eq=False, kw_only=True)
class LiveEndpoint:
    """A listed endpoint with its connections, its results and its predicted cache content.

    Attributes:
        endpoint: Its entry in the list of endpoints.
        number: Number that identifies it in reports between instances.
        pool: Connections to it.
        record: Recent connection failures and results of its requests.
        cache: Prompt parts that it probably has in its prefix cache.
        first_event_model: Predicts the time to the first event of a response.
        pacer: Spaces this instance's requests to it while it warms up.
        warmup_until: Time until which it warms up or is assumed to.
        stated_warmup_until: The same time as its own responses have stated it, which the other
            instances are told. What they tell in turn is left out, so that instances do not prolong
            it by repeating each other.
        is_evacuated: Whether its failure domain is evacuated.
    """

    endpoint: Endpoint
    number: int
    pool: UpstreamPool
    record: EndpointRecord
    cache: PrefixCache
    first_event_model: FirstEventModel
    pacer: RequestPacer = attrs.field(factory=RequestPacer)
    warmup_until: float = float('-inf')
    stated_warmup_until: float = float('-inf')
    is_evacuated: bool = False

    def is_available(self, now: float) -> bool:
        """Tells whether it should get new requests.

        Args:
            now: Time in seconds.

        Returns:
            Whether it accepts work and is neither ejected for its failures nor in the backoff that
            follows a failed connection.
        """
        if self.record.connection_backoff.is_backing_off:
            return False
        return self.record.ejected_until <= now and self.accepts_work(now)

    def accepts_work(self, now: float) -> bool:
        """Tells whether it may get new requests if no other endpoint is available.

        Args:
            now: Time in seconds.

        Returns:
            Whether it is neither leaving nor evacuated nor in a backoff that it has requested with
            Retry-After or that follows responses beyond all bounds.
        """
        if self.endpoint.is_leaving or self.is_evacuated:
            return False
        return self.record.refuses_until <= now

    def is_warming(self, now: float) -> bool:
        """Tells whether it warms up, so that only few requests may be sent to it.

        Args:
            now: Time in seconds.
        """
        return self.warmup_until > now


def open_pool(endpoint: Endpoint, *, byte_budget: ByteBudget | None = None) -> UpstreamPool:
    """Creates the pool of connections to an endpoint; none is opened yet.

    Args:
        endpoint: The endpoint.
        byte_budget: Bounds what is kept of its responses; None for no bound.
    """
    return ConnectionPool(
        endpoint.host,
        endpoint.port,
        connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
        byte_budget=byte_budget,
    )


def create_live_endpoint(number: int, endpoint: Endpoint, pool: UpstreamPool) -> LiveEndpoint:
    """Creates the state of a newly listed endpoint, without a cache.

    Args:
        number: Number that identifies it in reports between instances.
        endpoint: Its entry in the list of endpoints.
        pool: Connections to it.

    Returns:
        The endpoint, without results of requests.
    """
    return LiveEndpoint(
        endpoint=endpoint,
        number=number,
        pool=pool,
        record=EndpointRecord(EndpointBackoff(clock=trio.current_time)),
        cache=PrefixCache(0),
        first_event_model=FirstEventModel(_DEFAULT_TOKENS_PER_SECOND),
    )


def apply_capacity(live: LiveEndpoint, configuration: Configuration, fleet_size: int) -> None:
    """Applies the capacity of its engine that a configuration states to an endpoint.

    The size of its cache always follows the configuration. The prefill speed does so only until it
    was measured.

    Args:
        live: The endpoint.
        configuration: The active configuration.
        fleet_size: Number of listed endpoints of its service, itself included.
    """
    service = configuration.services.get(live.endpoint.service)
    live.cache.resize(_estimate_cache_tokens(service))
    if not live.first_event_model.has_measurements:
        live.first_event_model = FirstEventModel(_estimate_speed(configuration, fleet_size))


def _estimate_cache_tokens(service: Service | None) -> int:
    if service is None or service.engine is None:
        return 0
    return int(service.engine.cache_tokens * _PREFIX_CACHE_FRACTION)


def _estimate_speed(configuration: Configuration, fleet_size: int) -> float:
    """Returns the prefill speed assumed of an engine before anything was measured."""
    rate = configuration.limits.fleet_tokens_per_second
    if not rate:
        return _DEFAULT_TOKENS_PER_SECOND
    return _PROMPT_SPEED_FACTOR * rate / max(fleet_size, 1)
