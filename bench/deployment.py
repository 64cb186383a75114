"""The two deployments of today, on loopback."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from emulator.fleet import Fleet, Process
from emulator.load import AccountLoad

POOL = 'model'
SLOTS = 8
STEP_MILLISECONDS = 50


@attrs.define(frozen=True, kw_only=True)
class Shape:
    """Sizes of one deployment.

    Attributes:
        name: Name in tables.
        routers: Number of routers.
        domains: Number of failure domains that routers and sidecars are spread over.
        engines: Number of model servers.
        accounts: Number of client accounts.
        slots: Slots of each engine.
    """

    name: str
    routers: int
    domains: int
    engines: int
    accounts: int = 16
    slots: int = SLOTS


NEW_ENGLAND = Shape(name='new-england', routers=4, domains=4, engines=6)
NZ_NORTH = Shape(name='nz-north', routers=3, domains=3, engines=9)


@attrs.define
class Deployment:
    """A running deployment."""

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
    """Returns the weight by account; every fourth one is large."""
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
        way: `naive`, `chosen` or the name of a variant.
        step_milliseconds: Time of one token of a request.
        fleet: Settings of the section [fleet] that replace the defaults.
        batch: Requests that an engine batches; zero stands for its slots.
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

    Accounts are spread unevenly: every third one comes through one router only. Every fourth
    one, shifted by one, has requests of triple cost.
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
