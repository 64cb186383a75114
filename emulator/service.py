"""Emulates plain services whose calls have effects.

Run as `python -m emulator.service --count N`. Every call other than GET has an effect, which is
recorded with the Idempotency-Key header and the nonce in the body. Tests compare the records with
the answers of the callers, to find calls that ran twice.
"""

from typing import Any

import attrs
import fire
import orjson
import trio
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from .hosting import host


@attrs.define(eq=False)
class Service:
    """State of one service.

    Attributes:
        default_delay: Duration of a call in seconds, unless the member `delay` of its body states
            another one.
        effects: Path, idempotency key and nonce of each call other than GET.
        busy_seconds: Duration of all completed calls, added up.
    """

    default_delay: float = 0.0
    effects: list[dict[str, Any]] = attrs.field(factory=list)
    busy_seconds: float = 0.0


def create_app(service: Service) -> QuartTrio:
    """Creates the HTTP application of a service."""
    app = QuartTrio('emulator.service')

    @app.get('/stats')
    async def stats() -> Response:
        return jsonify({'effects': service.effects, 'busy_slot_seconds': service.busy_seconds})

    @app.route('/<path:path>', methods=['GET', 'POST', 'PUT', 'DELETE'])
    async def call(path: str) -> Response:
        body = await request.get_data()
        message = orjson.loads(body) if body else {}
        delay = float(message.get('delay', service.default_delay))
        effect = {
            'path': path,
            'key': request.headers.get('Idempotency-Key', ''),
            'nonce': message.get('nonce', ''),
        }
        if request.method != 'GET':
            service.effects.append(effect)
        await trio.sleep(delay)
        service.busy_seconds += delay
        effect_number = len(service.effects)
        response = jsonify({**effect, 'number': effect_number, 'pad': 'x' * message.get('pad', 0)})
        response.headers['Location'] = f'/receipts/{effect_number}'
        response.headers['X-Echo'] = request.headers.get('X-Caller-Note', '')
        return response

    return app


async def _main(count: int, port: int, delay_milliseconds: float) -> None:
    services = [Service(default_delay=delay_milliseconds / 1000) for _ in range(count)]
    await host(
        [
            (create_app(service), port + index if port else 0)
            for index, service in enumerate(services)
        ]
    )


def main(count: int = 1, port: int = 0, delay_milliseconds: float = 5.0) -> None:
    """Runs emulated services.

    Args:
        count: Number of services in this process.
        port: TCP port of the first service, the others use the following ports; zero lets the
            kernel choose.
        delay_milliseconds: Duration of a call, unless its body states another one.
    """
    trio.run(_main, count, port, delay_milliseconds)


if __name__ == '__main__':
    fire.Fire(main)
