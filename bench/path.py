"""Measures what the path costs: processor time, added latency, memory.

Run as `python -m bench.path [--json]`. The direct call and the call through the path take
turns in one run, so that they meet the same machine.
"""

import statistics

import fire
import httpx
import orjson
import trio

from bench.deployment import POOL, Deployment, Shape, start
from bench.probe import cpu_seconds, fit_line, resident_megabytes

_SHAPE = Shape(name='path', routers=1, domains=1, engines=1, accounts=1, slots=64)
_HEADERS = {'Authorization': 'Bearer a000.secret'}
_LOW, _HIGH = 20, 400


def _body(tokens: int) -> bytes:
    return orjson.dumps(
        {
            'model': POOL,
            'messages': [{'role': 'user', 'content': 'hello'}],
            'stream': True,
            'emulator': {'tokens': tokens, 'nonce': 'a000-x'},
        }
    )


async def _ask(client: httpx.AsyncClient, url: str, tokens: int) -> tuple[float, float]:
    """Returns the time to the first chunk and to the end in seconds."""
    began = trio.current_time()
    first = 0.0
    headers = {**_HEADERS, 'X-Request-Id': f'direct-{began}'}
    async with client.stream(
        'POST', f'{url}/v1/chat/completions', content=_body(tokens), headers=headers
    ) as response:
        async for _ in response.aiter_raw():
            first = first or trio.current_time() - began
    return first, trio.current_time() - began


async def _pairs(deployment: Deployment, count: int) -> tuple[list[float], list[float]]:
    router, engine = deployment.routers[0].address, deployment.engines[0]
    direct, through = [], []
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        for _ in range(count):
            direct.append((await _ask(client, engine, 3))[0])
            through.append((await _ask(client, router, 3))[0])
    return direct, through


async def _many(url: str, count: int, tokens: int, open_requests: int) -> None:
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=120, trust_env=False, limits=limits) as client:
        async with trio.open_nursery() as nursery:

            async def work(share: int) -> None:
                for _ in range(share):
                    await _ask(client, url, tokens)

            for _ in range(open_requests):
                nursery.start_soon(work, count // open_requests)


def _cost(deployment: Deployment, tokens: int, count: int) -> tuple[float, float]:
    """Returns microseconds of one request at the router and at the sidecar."""
    roles = ([deployment.routers[0]], [deployment.sidecars[0]])
    before = [cpu_seconds(role) for role in roles]
    trio.run(_many, deployment.routers[0].address, count, tokens, 32)
    after = [cpu_seconds(role) for role in roles]
    router, sidecar = ((b - a) / count * 1e6 for a, b in zip(before, after, strict=True))
    return router, sidecar


def measure_open() -> list[tuple[int, float]]:
    """Returns the router's microseconds of one request by the number of open streams."""
    shape = Shape(name='open', routers=1, domains=1, engines=4, accounts=1, slots=256)
    deployment = start(shape, 'chosen', step_milliseconds=100)
    points = []
    with deployment.fleet:
        for streams in (32, 128, 512):
            before = cpu_seconds(deployment.routers)
            trio.run(_many, deployment.routers[0].address, streams * 3, 10, streams)
            used = cpu_seconds(deployment.routers) - before
            points.append((streams, used / (streams * 3) * 1e6))
    return points


def _quantiles(values: list[float]) -> dict[str, float]:
    marks = statistics.quantiles(values, n=100)
    return {name: round(marks[at - 1] * 1000, 3) for name, at in _MARKS.items()}


_MARKS = {'p50': 50, 'p95': 95, 'p99': 99}


def measure(*, pairs: int = 300, requests: int = 320) -> dict[str, object]:
    """Measures everything and returns it.

    The cost of a token is measured twice: with steps of 5 ms, where the sidecar's flush of
    20 ms puts four tokens together, and with steps of 25 ms, where each travels alone.
    """
    deployment = start(_SHAPE, 'chosen', step_milliseconds=5)
    with deployment.fleet:
        trio.run(_pairs, deployment, 20)
        direct, through = trio.run(_pairs, deployment, pairs)
        added = [b - a for a, b in zip(direct, through, strict=True)]
        together = [(tokens, _cost(deployment, tokens, requests)) for tokens in (_LOW, 150, _HIGH)]
        memory = {
            'router_mb': round(resident_megabytes(deployment.routers[0]), 1),
            'sidecar_mb': round(resident_megabytes(deployment.sidecars[0]), 1),
        }
    deployment = start(_SHAPE, 'chosen', step_milliseconds=25)
    with deployment.fleet:
        alone = [(tokens, _cost(deployment, tokens, requests // 2)) for tokens in (20, 80, 160)]
    return {
        'direct_first_token_ms': _quantiles(direct),
        'through_first_token_ms': _quantiles(through),
        'added_ms': _quantiles(added),
        **memory,
        **_fit_roles(together, 'token_of_four'),
        **_fit_roles(alone, 'token_alone'),
    }


def _fit_roles(points: list[tuple[int, tuple[float, float]]], name: str) -> dict[str, float]:
    result: dict[str, float] = {}
    for place, role in enumerate(('router', 'sidecar')):
        base, slope, residual = fit_line((tokens, cost[place]) for tokens, cost in points)
        result[f'{role}_us_per_request_{name}'] = round(base)
        result[f'{role}_us_per_{name}'] = round(slope, 1)
        result[f'{role}_residual_{name}'] = round(residual, 3)
    return result


def main(pairs: int = 300, requests: int = 320) -> None:
    """Prints the measurement as JSON.

    Args:
        pairs: Paired calls for the added latency.
        requests: Calls for each point of the processor time.
    """
    print(orjson.dumps(measure(pairs=pairs, requests=requests), option=2).decode())


if __name__ == '__main__':
    fire.Fire(main)
