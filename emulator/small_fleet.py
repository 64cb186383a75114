"""Starts a small fleet for failure tests: model engines, one service, sidecars and routers."""

import os
from functools import partial
from typing import Any

from .fleet import Fleet
from .process import Process

ACCOUNTS = (
    {
        'account': 'families',
        'pools': ['farewell', 'bookings'],
        'key_required_pools': ['bookings'],
    },
    {'account': 'vets', 'pools': ['farewell']},
)


def start_small_fleet(
    *,
    engines: int = 2,
    services: int = 2,
    routers: int = 2,
    live_lag: float = 0.2,
    step_milliseconds: float = 10,
    settings: dict[str, Any] | None = None,
) -> Fleet:
    """Starts a fleet whose sidecars are engine-N and service-N and whose routers are router-N.

    All sidecars of the service forward to the same process, which therefore records all effects.
    The environment variable FIREFLYMUX_VARIANT names the variant that routers and sidecars run.

    Args:
        engines: Number of engines, each with a sidecar.
        services: Number of sidecars of the service.
        routers: Number of routers.
        live_lag: Interval in seconds at which changes are published in the live list.
        step_milliseconds: Duration of one step of the engines.
        settings: Settings by section that replace the defaults in every process.
    """
    fleet = Fleet(settings=settings, variant=os.environ.get('FIREFLYMUX_VARIANT', ''))
    fleet.start_platform(live_lag=live_lag)
    fleet.add_contracts(ACCOUNTS)
    urls = fleet.together(
        partial(fleet.start_engines, 'engines', engines, step_milliseconds=step_milliseconds),
        partial(fleet.start_services, 'services', 1),
    )
    starts = [
        partial(start_engine_sidecar, fleet, number, urls[0][number]) for number in range(engines)
    ]
    starts += [
        partial(start_service_sidecar, fleet, number, urls[1][0]) for number in range(services)
    ]
    starts += [partial(fleet.start_router, f'router-{number}') for number in range(routers)]
    fleet.together(*starts)
    fleet.wait_ready()
    return fleet


def start_engine_sidecar(fleet: Fleet, number: int, url: str, **settings: Any) -> Process:
    """Starts the sidecar of an engine."""
    return fleet.start_sidecar(
        f'engine-{number}',
        endpoint_url=url,
        pool='farewell',
        kind='engine',
        slots=8,
        settings=settings,
    )


def start_service_sidecar(fleet: Fleet, number: int, url: str) -> Process:
    """Starts a sidecar of the service."""
    return fleet.start_sidecar(
        f'service-{number}', endpoint_url=url, pool='bookings', kind='service', slots=8
    )


def effects(fleet: Fleet) -> list[dict[str, Any]]:
    """Returns the recorded effects of the service."""
    url = fleet.processes['services'].address
    stats: dict[str, list[dict[str, Any]]] = fleet.client.get(f'{url}/stats').json()
    return stats['effects']


def histories(fleet: Fleet) -> list[list[dict[str, Any]]]:
    """Returns the recorded requests of each engine."""
    return [
        fleet.client.get(f'{url}/stats').json()['history']
        for url in fleet.processes['engines'].addresses
    ]
