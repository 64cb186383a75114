"""Measures the cost of the path through router and sidecar: processor time, latency and memory.

Run as `python -m bench.path [--pairs N] [--requests N]`. Requests through the router alternate
with requests sent directly to the engine, so that both see the same load of the machine. The
difference is the added latency.
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
_FEW_TOKENS, _MANY_TOKENS = 20, 400


def _body(tokens: int) -> bytes:
    return orjson.dumps(
        {
            'model': POOL,
            'messages': [{'role': 'user', 'content': 'hello'}],
            'stream': True,
            'emulator': {'tokens': tokens, 'nonce': 'a000-x'},
        }
    )


async def _time_request(client: httpx.AsyncClient, url: str, tokens: int) -> tuple[float, float]:
    """Sends a request; returns the times to the first chunk and to the end in seconds."""
    started_at = trio.current_time()
    first = 0.0
    headers = {**_HEADERS, 'X-Request-Id': f'direct-{started_at}'}
    async with client.stream(
        'POST', f'{url}/v1/chat/completions', content=_body(tokens), headers=headers
    ) as response:
        async for _ in response.aiter_raw():
            first = first or trio.current_time() - started_at
    return first, trio.current_time() - started_at


async def _measure_pairs(deployment: Deployment, count: int) -> tuple[list[float], list[float]]:
    """Returns times to the first chunk in seconds, of direct requests and through the router."""
    router, engine = deployment.routers[0].address, deployment.engines[0]
    direct, via_router = [], []
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        for _ in range(count):
            direct.append((await _time_request(client, engine, 3))[0])
            via_router.append((await _time_request(client, router, 3))[0])
    return direct, via_router


async def _send_many(url: str, count: int, tokens: int, open_requests: int) -> None:
    """Sends `count` requests, of which `open_requests` are open at a time."""
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=120, trust_env=False, limits=limits) as client:
        async with trio.open_nursery() as nursery:

            async def send_in_turn(requests: int) -> None:
                for _ in range(requests):
                    await _time_request(client, url, tokens)

            for _ in range(open_requests):
                nursery.start_soon(send_in_turn, count // open_requests)


def _measure_processor_time(
    deployment: Deployment, tokens: int, count: int
) -> tuple[float, float]:
    """Returns the processor time per request of router and sidecar in microseconds."""
    process_groups = ([deployment.routers[0]], [deployment.sidecars[0]])
    before = [cpu_seconds(processes) for processes in process_groups]
    trio.run(_send_many, deployment.routers[0].address, count, tokens, 32)
    after = [cpu_seconds(processes) for processes in process_groups]
    router, sidecar = ((b - a) / count * 1e6 for a, b in zip(before, after, strict=True))
    return router, sidecar


def measure_open() -> list[tuple[int, float]]:
    """Measures how the router's processor time depends on the number of open streams.

    Returns:
        Number of open streams, and processor time per request in microseconds.
    """
    shape = Shape(name='open', routers=1, domains=1, engines=4, accounts=1, slots=256)
    deployment = start(shape, 'chosen', step_milliseconds=100)
    points = []
    with deployment.fleet:
        for streams in (32, 128, 512):
            before = cpu_seconds(deployment.routers)
            trio.run(_send_many, deployment.routers[0].address, streams * 3, 10, streams)
            seconds = cpu_seconds(deployment.routers) - before
            points.append((streams, seconds / (streams * 3) * 1e6))
    return points


def _quantiles(values: list[float]) -> dict[str, float]:
    """Returns percentiles in milliseconds of values in seconds."""
    cut_points = statistics.quantiles(values, n=100)
    return {
        name: round(cut_points[percent - 1] * 1000, 3) for name, percent in _PERCENTILES.items()
    }


_PERCENTILES = {'p50': 50, 'p95': 95, 'p99': 99}


def measure(*, pairs: int = 300, requests: int = 320) -> dict[str, object]:
    """Measures latency, memory and processor time, and returns them by name.

    The cost of a token is measured twice, since a sidecar flushes its output every 20 ms. With
    engine steps of 5 ms a chunk contains four tokens, and with steps of 25 ms only one.

    Args:
        pairs: Number of pairs of a direct request and one through the router.
        requests: Number of requests for each point of the processor time.
    """
    deployment = start(_SHAPE, 'chosen', step_milliseconds=5)
    with deployment.fleet:
        trio.run(_measure_pairs, deployment, 20)
        direct, via_router = trio.run(_measure_pairs, deployment, pairs)
        added = [b - a for a, b in zip(direct, via_router, strict=True)]
        four_token_points = [
            (tokens, _measure_processor_time(deployment, tokens, requests))
            for tokens in (_FEW_TOKENS, 150, _MANY_TOKENS)
        ]
        memory = {
            'router_mb': round(resident_megabytes(deployment.routers[0]), 1),
            'sidecar_mb': round(resident_megabytes(deployment.sidecars[0]), 1),
        }
    deployment = start(_SHAPE, 'chosen', step_milliseconds=25)
    with deployment.fleet:
        one_token_points = [
            (tokens, _measure_processor_time(deployment, tokens, requests // 2))
            for tokens in (20, 80, 160)
        ]
    return {
        'direct_first_token_ms': _quantiles(direct),
        'through_first_token_ms': _quantiles(via_router),
        'added_ms': _quantiles(added),
        **memory,
        **_fit_roles(four_token_points, 'token_of_four'),
        **_fit_roles(one_token_points, 'token_alone'),
    }


def _fit_roles(points: list[tuple[int, tuple[float, float]]], name: str) -> dict[str, float]:
    """Fits processor time over tokens: a constant per request and a slope per token."""
    result: dict[str, float] = {}
    for index, role in enumerate(('router', 'sidecar')):
        base, slope, residual = fit_line(
            (tokens, microseconds[index]) for tokens, microseconds in points
        )
        result[f'{role}_us_per_request_{name}'] = round(base)
        result[f'{role}_us_per_{name}'] = round(slope, 1)
        result[f'{role}_residual_{name}'] = round(residual, 3)
    return result


def main(pairs: int = 300, requests: int = 320) -> None:
    """Prints the measurement as JSON.

    Args:
        pairs: Number of pairs of requests for the added latency.
        requests: Number of requests for each point of the processor time.
    """
    print(orjson.dumps(measure(pairs=pairs, requests=requests), option=2).decode())


if __name__ == '__main__':
    fire.Fire(main)
