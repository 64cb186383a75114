"""Baseline for benchmarks: a router that forwards requests to the endpoints round-robin.

Run as `python -m emulator.naive_router --endpoints URL,URL`. It knows no accounts and uses no
sidecars. It has no queue, so that requests beyond the batch of an engine wait in the engine.
"""

import itertools
from collections.abc import AsyncIterator

import fire
import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from .hosting import host

_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)


def create_app(endpoints: list[str]) -> QuartTrio:
    """Creates the HTTP application of a naive router."""
    app = QuartTrio('emulator.naive_router')
    client = httpx.AsyncClient(timeout=None, limits=_UNLIMITED, trust_env=False)
    endpoint_cycle = itertools.cycle(endpoints)
    request_numbers = itertools.count()

    async def relay(endpoint_response: httpx.Response) -> AsyncIterator[bytes]:
        try:
            async for chunk in endpoint_response.aiter_raw():
                yield chunk
        finally:
            await endpoint_response.aclose()

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        endpoint_request = client.build_request(
            'POST',
            f'{next(endpoint_cycle)}/v1/chat/completions',
            content=await request.get_data(),
            headers={'X-Request-Id': f'naive-{id(app)}-{next(request_numbers)}'},
        )
        endpoint_response = await client.send(endpoint_request, stream=True)
        response = Response(
            relay(endpoint_response),
            status=endpoint_response.status_code,
            headers={'Content-Type': endpoint_response.headers['Content-Type']},
        )
        response.timeout = None
        return response

    return app


def main(endpoints: str | tuple[str, ...], port: int = 0) -> None:
    """Runs a naive router.

    Args:
        endpoints: Comma-separated URLs of the endpoints.
        port: TCP port; zero lets the kernel choose.
    """
    urls = endpoints.split(',') if isinstance(endpoints, str) else list(endpoints)
    trio.run(host, [(create_app(urls), port)])


if __name__ == '__main__':
    fire.Fire(main)
