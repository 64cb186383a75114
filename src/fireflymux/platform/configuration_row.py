"""Decodes the configuration that the platform's operator stores for the entry role."""

from typing import Any

import orjson

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

#: Table and key of the configuration row in the store.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
#: Beginning of the keys by which the operator evacuates a failure domain, whose name follows.
_EVACUATION_PREFIX = 'evacuate/'
_MILLISECONDS_PER_SECOND = 1000.0


class MalformedRow(Exception):
    """The configuration row is not valid JSON or does not have the expected fields."""


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

    Args:
        content: JSON content of the configuration row.

    Returns:
        The configuration.

    Raises:
        MalformedRow: The content is not JSON, or a field is missing or has a wrong type.
    """
    try:
        return _decode(orjson.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedRow(repr(error)) from error


def _decode(raw: dict[str, Any]) -> Configuration:
    limits = raw['limits']
    accounts = raw.get('tenants') or []
    return Configuration(
        version=int(raw['version']),
        routes=index_routes([_decode_route(route) for route in raw['routes']]),
        services={service['name']: _decode_service(service) for service in raw['services']},
        limits=CallerLimits(
            header_bytes=int(limits['max_header_bytes']),
            body_bytes=int(limits['max_body_bytes']),
            header_seconds=limits['header_timeout_ms'] / _MILLISECONDS_PER_SECOND,
            idle_seconds=limits['idle_timeout_ms'] / _MILLISECONDS_PER_SECOND,
            # Zero if absent, null or zero: not stated.
            fleet_tokens_per_second=float(limits.get('tokens_per_s') or 0),
        ),
        accounts_by_key={
            key: account['name'] for account in accounts for key in account['api_keys']
        },
        # Keys are needed as soon as the field is there, even if it is empty or null.
        needs_keys='tenants' in raw,
        account_priorities={
            account['name']: int(account['priority'])
            for account in accounts
            if account.get('priority') is not None
        },
        account_regions={
            account['name']: regions
            for account in accounts
            if (regions := _decode_regions(account)) is not None
        },
    )


def _decode_route(raw: dict[str, Any]) -> Route:
    # A route has either one `service` or a list of weighted `backends`.
    backends = raw.get('backends') or [{'service': raw.get('service'), 'weight': 1}]
    return Route(
        name=raw['name'],
        host=raw['host'].lower(),
        prefix=raw['prefix'],
        services=tuple(
            WeightedService(service=backend['service'], weight=float(backend['weight']))
            for backend in backends
        ),
        repeatability=_decode_repeatability(raw),
        timeout_seconds=raw['timeout_ms'] / _MILLISECONDS_PER_SECOND,
        target_seconds=raw['target_latency_ms'] / _MILLISECONDS_PER_SECOND,
        # One endpoint if absent, null or zero.
        maximum_endpoints=int(raw.get('max_attempts') or 1),
        is_public=bool(raw.get('public')),
        priority=int(raw.get('priority') or 0),
        # Zero if absent or null.
        pause_seconds=(raw.get('gap_aim_ms') or 0) / _MILLISECONDS_PER_SECOND,
        regions=_decode_regions(raw),
    )


def _decode_regions(raw: dict[str, Any]) -> frozenset[str] | None:
    # No limit if absent, null or empty.
    regions = raw.get('allowed_regions')
    return frozenset(map(str, regions)) if regions else None


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
        name=raw['name'],
        # Zero if absent or null.
        maximum_connections=int(raw.get('max_connections') or 0),
        engine=engine
        and EngineCapacity(
            slots=int(engine['batch_slots']),
            cache_tokens=int(engine['kv_capacity']),
            transfer=TransferRate.from_megabits(
                # Zero if absent or null: engines cannot copy.
                token_bytes=float(engine.get('kv_token_bytes') or 0),
                link_megabits=float(engine.get('link_mbps') or 0),
            ),
        ),
        # Zero if absent or null.
        warmup_seconds=float(raw.get('warmup_s') or 0),
        warmup_per_second=float(raw.get('warmup_per_s') or 0),
    )
