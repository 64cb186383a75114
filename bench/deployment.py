"""Starts deployments of several sizes on loopback, and defines their accounts and load."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from emulator.fleet import Fleet
from emulator.load import AccountLoad
from emulator.process import Process

POOL = 'model'
SLOTS = 8
STEP_MILLISECONDS = 50


@attrs.define(frozen=True, kw_only=True)
class Shape:
    """Sizes of one deployment.

    Attributes:
        name: Name in the printed tables.
        routers: Number of routers.
        domains: Number of failure domains over which routers and sidecars are spread.
        engines: Number of model engines, each with a sidecar.
        accounts: Number of client accounts.
        slots: Number of slots in the settings of each sidecar.
    """

    name: str
    routers: int
    domains: int
    engines: int
    accounts: int = 16
    slots: int = SLOTS


# Sizes of the two existing deployments.
NEW_ENGLAND = Shape(name='new-england', routers=4, domains=4, engines=6)
NZ_NORTH = Shape(name='nz-north', routers=3, domains=3, engines=9)


@attrs.define
class Deployment:
    """A running deployment.

    Attributes:
        shape: Its sizes.
        fleet: Its processes.
        engines: URLs of the engines.
        routers: Router processes.
        sidecars: Sidecar processes; empty if the routers are naive.
        weights: Weight by account.
    """

    shape: Shape
    fleet: Fleet
    engines: list[str]
    routers: list[Process]
    sidecars: list[Process]
    weights: dict[str, float]


def account_names(count: int) -> list[str]:
    """Returns the names of the accounts."""
    return [f'a{number:03d}' for number in range(count)]


def account_weights(count: int) -> dict[str, float]:
    """Returns the weight by account: 4 for every fourth account, 1 for the others."""
    return {
        name: 4.0 if number % 4 == 0 else 1.0 for number, name in enumerate(account_names(count))
    }


def start(
    shape: Shape,
    way: str,
    *,
    step_milliseconds: float = STEP_MILLISECONDS,
    fleet: Mapping[str, Any] | None = None,
    batch: int = 0,
) -> Deployment:
    """Starts a deployment.

    Args:
        shape: Its sizes.
        way: `naive` for naive routers without sidecars, `chosen` for the unpatched program, or the
            name of a variant.
        step_milliseconds: Time in which an engine generates one token of a request.
        fleet: Settings of the section [fleet] that replace the defaults.
        batch: Number of requests that an engine batches; zero for its number of slots.
    """
    running_fleet = Fleet(
        variant='' if way in {'naive', 'chosen'} else way,
        settings={
            'sidecar': {'prompt_token_weight': 0},
            'fleet': {'maximum_routers': shape.routers, **(fleet or {})},
            'observability': {'trace_file': ''},
        },
    )
    running_fleet.start_platform()
    weights = account_weights(shape.accounts)
    running_fleet.add_contracts(
        [{'account': name, 'pools': [POOL], 'weight': weight} for name, weight in weights.items()]
    )
    engines: list[str] = []
    per_process = 3
    for first in range(0, shape.engines, per_process):
        engines += running_fleet.start_engines(
            f'engines-{first}',
            min(per_process, shape.engines - first),
            slots=batch or shape.slots,
            step_milliseconds=step_milliseconds,
        )
    if way == 'naive':
        routers = [
            running_fleet.start_naive_router(f'router-{number}', engines)
            for number in range(shape.routers)
        ]
        return Deployment(shape, running_fleet, engines, routers, [], weights)
    sidecars = [
        running_fleet.start_sidecar(
            f'sidecar-{number}',
            endpoint_url=url,
            pool=POOL,
            kind='engine',
            slots=shape.slots,
            failure_domain=f'domain-{number % shape.domains}',
        )
        for number, url in enumerate(engines)
    ]
    routers = [
        running_fleet.start_router(
            f'router-{number}', failure_domain=f'domain-{number % shape.domains}'
        )
        for number in range(shape.routers)
    ]
    running_fleet.wait_ready()
    return Deployment(shape, running_fleet, engines, routers, sidecars, weights)


def build_backlogged_loads(
    deployment: Deployment, *, tokens: tuple[int, int] = (5, 35), factor: int = 3
) -> list[AccountLoad]:
    """Returns loads that keep every account backlogged.

    The load is uneven: every third account, from the first one on, uses a single router, and every
    fourth one, from the second one on, sends larger requests. Each account keeps open at least
    twice the requests that its share of the slots allows.

    Args:
        deployment: The deployment.
        tokens: Smallest and largest number of output tokens of a request.
        factor: Factor by which the larger requests exceed these numbers.
    """
    urls: Sequence[str] = [router.address for router in deployment.routers]
    slots = deployment.shape.engines * deployment.shape.slots
    total = sum(deployment.weights.values())
    loads = []
    for number, (name, weight) in enumerate(deployment.weights.items()):
        scale = factor if number % 4 == 1 else 1
        share = slots * weight / total
        loads.append(
            AccountLoad(
                account=name,
                weight=weight,
                routers=[urls[number % len(urls)]] if number % 3 == 0 else urls,
                open_requests=int(share * 2) + 6,
                tokens=(tokens[0] * scale, tokens[1] * scale),
            )
        )
    return loads
