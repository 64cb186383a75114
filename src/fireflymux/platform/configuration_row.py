"""Decodes the configuration that the platform's operator stores for the entry role."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

import attrs
import orjson

from ..bounded_values import (
    MAXIMUM_INTEGER,
    MAXIMUM_SECONDS,
    OutOfBounds,
    check_integer,
    check_list,
    check_name,
    check_number,
    check_text,
)
from ..decisions.entry_configuration import (
    CallerLimits,
    Configuration,
    EngineCapacity,
    Repeatability,
    Route,
    Service,
    WeightedService,
    index_routes,
)
from ..decisions.prefix_transfer import TransferRate
from ..observability.logs import get_logger

_log = get_logger(__name__)
_Decoded = TypeVar('_Decoded')

#: Table and key of the configuration row in the store.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
#: Beginning of the keys by which the operator evacuates a failure domain, whose name follows.
_EVACUATION_PREFIX = 'evacuate/'
_MILLISECONDS_PER_SECOND = 1000.0
_MAXIMUM_MILLISECONDS = MAXIMUM_SECONDS * _MILLISECONDS_PER_SECOND
#: Greatest weight, rate or capacity, beyond which sums and products would lose precision.
_MAXIMUM_NUMBER = 1e12
_MAXIMUM_SLOTS = 1000000
#: Greatest priority; 0 is the most urgent one.
_MAXIMUM_PRIORITY = 1000000
#: Errors of a member that is missing, has another type or is out of range.
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
#: Members of a route that stand for those of one that cannot be decoded. Its service has no name
#: and so no endpoints: requests are refused, and do not go to the route of a shorter prefix.
_UNREADABLE_ROUTE: Mapping[str, Any] = MappingProxyType(
    {'type': 'unsafe', 'service': ' ', 'timeout_ms': 1000, 'target_latency_ms': 1000}
)


class MalformedRow(Exception):
    """The configuration row is not valid JSON, or cannot be used even in part."""


@attrs.define(frozen=True, kw_only=True)
class _Account:
    """A client account of the configuration; None stands for what it does not state."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[str] | None


def decode_evacuated_domain(key: str) -> str | None:
    """Returns the failure domain that a row of the configuration table evacuates.

    Args:
        key: Key of the row.

    Returns:
        Name of the failure domain; None if the row is no evacuation.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key[len(_EVACUATION_PREFIX) :] or None


def decode_configuration(content: bytes) -> Configuration:
    """Decodes one version of the configuration of the entry role.

    A route, service or account that cannot be decoded does not hide the others: requests for such
    a route are refused, endpoints of such a service count as those of a plain one, and the keys of
    such an account are not valid.

    Args:
        content: JSON content of the configuration row.

    Returns:
        The configuration.

    Raises:
        MalformedRow: The content is not JSON, or the version, a limit, or host or prefix of a
            route is missing, has a wrong type or is out of range.
    """
    try:
        return _decode(orjson.loads(content))
    except _DECODE_ERRORS as error:
        raise MalformedRow(repr(error)) from error


def _decode(raw: dict[str, Any]) -> Configuration:
    accounts = _decode_each('account', raw.get('tenants') or [], _decode_account)
    services = _decode_each('service', raw['services'], _decode_service)
    return Configuration(
        version=check_integer(raw['version']),
        routes=index_routes([_decode_any_route(route) for route in check_list(raw['routes'])]),
        services={service.name: service for service in services},
        limits=_decode_limits(raw['limits']),
        accounts_by_key={key: account.name for account in accounts for key in account.keys},
        # Keys are needed as soon as the field is there, even if it is empty or null.
        needs_keys='tenants' in raw,
        account_priorities={
            account.name: account.priority for account in accounts if account.priority is not None
        },
        account_regions={
            account.name: account.regions for account in accounts if account.regions is not None
        },
    )


def _decode_each(
    kind: str, entries: list[Any], decode: Callable[[dict[str, Any]], _Decoded]
) -> list[_Decoded]:
    """Decodes the entries of a list; those that are not valid are logged and left out."""
    decoded: list[_Decoded] = []
    for number, raw in enumerate(check_list(entries)):
        try:
            decoded.append(decode(raw))
        except _DECODE_ERRORS as error:
            _log.error('configuration_part_malformed', kind=kind, part=number, reason=repr(error))
    return decoded


def _decode_limits(raw: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(check_number(raw['max_header_bytes'], maximum=MAXIMUM_INTEGER)),
        body_bytes=int(check_number(raw['max_body_bytes'], maximum=MAXIMUM_INTEGER)),
        header_seconds=_check_milliseconds(raw['header_timeout_ms']),
        idle_seconds=_check_milliseconds(raw['idle_timeout_ms']),
        # Zero if absent, null or zero: not stated.
        fleet_tokens_per_second=_check_optional(raw.get('tokens_per_s')),
    )


def _decode_account(raw: dict[str, Any]) -> _Account:
    priority = raw.get('priority')
    return _Account(
        name=check_name(raw['name']),
        keys=tuple(check_text(key) for key in check_list(raw['api_keys'])),
        priority=None if priority is None else check_integer(priority, maximum=_MAXIMUM_PRIORITY),
        regions=_decode_regions(raw),
    )


def _decode_any_route(raw: dict[str, Any]) -> Route:
    """Decodes a route, or builds one that refuses all requests if it is not valid."""
    name, host, prefix = raw.get('name'), raw['host'], raw['prefix']
    if not isinstance(host, str) or not isinstance(prefix, str):
        raise OutOfBounds('host or prefix of a route is no text')
    try:
        return _decode_route(raw)
    except _DECODE_ERRORS as error:
        _log.error(
            'configuration_part_malformed',
            kind='route',
            part='{0}{1}'.format(host, prefix),
            reason=repr(error),
        )
    shown_name = name if isinstance(name, str) else prefix
    return _decode_route({**_UNREADABLE_ROUTE, 'name': shown_name, 'host': host, 'prefix': prefix})


def _decode_route(raw: dict[str, Any]) -> Route:
    # A route has either one `service` or a list of weighted `backends`.
    backends = raw.get('backends') or [{'service': raw.get('service'), 'weight': 1}]
    return Route(
        name=check_text(raw['name']),
        host=raw['host'].lower(),
        prefix=raw['prefix'],
        services=tuple(
            WeightedService(
                service=check_text(backend['service']),
                weight=check_number(backend['weight'], maximum=_MAXIMUM_NUMBER),
            )
            for backend in check_list(backends)
        ),
        repeatability=_decode_repeatability(raw),
        timeout_seconds=_check_milliseconds(raw['timeout_ms']),
        target_seconds=_check_milliseconds(raw['target_latency_ms']),
        # One endpoint if absent, null or zero.
        maximum_endpoints=int(_check_optional(raw.get('max_attempts'))) or 1,
        is_public=bool(raw.get('public')),
        priority=check_integer(raw.get('priority') or 0, maximum=_MAXIMUM_PRIORITY),
        # Zero if absent or null.
        pause_seconds=_check_milliseconds(raw.get('gap_aim_ms') or 0),
        regions=_decode_regions(raw),
    )


def _decode_regions(raw: dict[str, Any]) -> frozenset[str] | None:
    # No limit if absent, null or empty.
    regions = raw.get('allowed_regions')
    return frozenset(map(check_text, check_list(regions))) if regions else None


def _decode_repeatability(raw: dict[str, Any]) -> Repeatability:
    # Despite its name, the field `type` says whether a request may run more than once.
    route_type = raw['type']
    if route_type == 'streaming':
        if raw.get('stream_resume'):
            return Repeatability.stream_resumable
        return Repeatability.stream_once
    return Repeatability.idempotent if route_type == 'safe' else Repeatability.once


def _decode_service(raw: dict[str, Any]) -> Service:
    engine = raw.get('engine')
    return Service(
        name=check_text(raw['name']),
        # Zero if absent or null.
        maximum_connections=int(_check_optional(raw.get('max_connections'))),
        engine=_decode_engine(engine) if engine else None,
        # Zero if absent or null.
        warmup_seconds=check_number(raw.get('warmup_s') or 0, maximum=MAXIMUM_SECONDS),
        warmup_per_second=_check_optional(raw.get('warmup_per_s')),
    )


def _decode_engine(raw: dict[str, Any]) -> EngineCapacity:
    return EngineCapacity(
        slots=int(check_number(raw['batch_slots'], minimum=1, maximum=_MAXIMUM_SLOTS)),
        cache_tokens=int(check_number(raw['kv_capacity'], maximum=_MAXIMUM_NUMBER)),
        transfer=TransferRate.from_megabits(
            # Zero if absent or null: engines cannot copy.
            token_bytes=_check_optional(raw.get('kv_token_bytes')),
            link_megabits=_check_optional(raw.get('link_mbps')),
        ),
    )


def _check_milliseconds(value: Any) -> float:
    """Checks a time in milliseconds and returns it in seconds."""
    return check_number(value, maximum=_MAXIMUM_MILLISECONDS) / _MILLISECONDS_PER_SECOND


def _check_optional(value: Any) -> float:
    """Checks a number that is zero if absent or null."""
    return check_number(value or 0, maximum=_MAXIMUM_NUMBER)
