"""Serves emulated HTTP applications on loopback, several in one process."""

from collections.abc import Sequence
from urllib.parse import urlsplit

import orjson
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio


def build_config(port: int) -> Config:
    """Returns the server configuration of a listener on a loopback port."""
    config = Config()
    config.bind = ['127.0.0.1:{0}'.format(port)]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = 120
    config.graceful_timeout = 0.1
    return config


async def host(apps: Sequence[tuple[QuartTrio, int]]) -> None:
    """Serves applications until cancelled.

    Once all of them listen, prints their URLs as one JSON line, which `emulator.fleet` reads.

    Args:
        apps: Applications and their ports; port zero lets the kernel choose.
    """
    async with trio.open_nursery() as nursery:
        addresses = []
        for app, port in apps:
            bound = await nursery.start(_serve, app, port)
            addresses.append('http://127.0.0.1:{0}'.format(urlsplit(bound[0]).port))
        print(orjson.dumps({'event': 'listening', 'addresses': addresses}).decode(), flush=True)


async def _serve(
    app: QuartTrio,
    port: int,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve(
        app,
        build_config(port),
        shutdown_trigger=trio.Event().wait,
        task_status=task_status,
    )
