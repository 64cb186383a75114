"""Emulates the platform: table service, object store, live list and store of model weights.

Run as `python -m emulator.platform [--port N] [--live-lag SECONDS]`. `POST /faults` makes one of
the services slow or unavailable, or makes it apply writes and then fail to answer them. `GET
/counts` returns how many operations were done.
"""

import bisect
import hmac
from typing import Any

import attrs
import fire
import trio
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from .hosting import host

_MAX_TRANSACTION_PUTS = 100
#: Rate of reads above which the weight store answers 429.
_WEIGHT_RATE_PER_SECOND = 2.0
_FAULT_SERVICES = ('table', 'objects', 'live', 'weights')


@attrs.define
class Fault:
    """Fault of one service.

    Attributes:
        mode: `ok`; `down` for 503 without effect; `slow` for a delay before the request is
            handled; `lose_answers` for 504 after a write took effect; `garbage` for 200 with
            `content`, without effect.
        seconds: Delay in the mode `slow`.
        content: Body of every response in the mode `garbage`.
        remaining: Number of further requests that the fault affects; negative for no limit.
    """

    mode: str = 'ok'
    seconds: float = 0.0
    content: str = ''
    remaining: int = -1


@attrs.define
class PlatformState:
    """State of all emulated services.

    Attributes:
        rows: Version and value of each table row, by key.
        keys: Keys of all rows in order.
        objects: Content of each object, by name.
        live: Time of registration and entry of each instance, by name.
        published_live: The live list as clients see it.
        faults: Fault of each service, by name.
        operation_counts: Number of operations, by name.
        live_lag: Interval in seconds at which changes are published in the live list.
        next_weights_read_at: Time from which the weight store answers the next read.
        credential: Bearer credential that table and objects require; empty for none.
    """

    rows: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    live: dict[str, tuple[float, dict[str, Any]]] = attrs.field(factory=dict)
    published_live: list[dict[str, Any]] = attrs.field(factory=list)
    faults: dict[str, Fault] = attrs.field(
        factory=lambda: {name: Fault() for name in _FAULT_SERVICES},
    )
    operation_counts: dict[str, int] = attrs.field(factory=dict)
    live_lag: float = 0.5
    next_weights_read_at: float = 0.0
    credential: str = ''

    def count(self, name: str, amount: int = 1) -> None:
        """Counts an operation."""
        self.operation_counts[name] = self.operation_counts.get(name, 0) + amount

    def commit(self, puts: list[dict[str, Any]]) -> list[str]:
        """Applies all writes if every row has its expected version, otherwise none.

        Returns:
            The keys whose rows have another version.
        """
        failed = [
            put['key']
            for put in puts
            if self.rows.get(put['key'], (0, None))[0] != put['expected_version']
        ]
        if failed:
            return failed
        for put in puts:
            if put['key'] not in self.rows:
                bisect.insort(self.keys, put['key'])
            self.rows[put['key']] = (put['expected_version'] + 1, put['value'])
        return []


async def _apply_fault(state: PlatformState, service: str) -> str:
    """Delays the request if the service is slow; returns the mode that is left to handle."""
    fault = state.faults[service]
    if fault.mode == 'ok' or fault.remaining == 0:
        return 'ok'
    fault.remaining -= 1
    if fault.mode == 'slow':
        await trio.sleep(fault.seconds)
        return 'ok'
    return fault.mode


def create_app(state: PlatformState) -> QuartTrio:
    """Creates the HTTP application of the platform."""
    app = QuartTrio('emulator.platform')
    _add_table_routes(app, state)
    _add_object_routes(app, state)
    _add_live_routes(app, state)

    @app.before_request
    async def check_credential() -> Response | None:
        expected = 'Bearer {0}'.format(state.credential).encode()
        authorization = request.headers.get('Authorization', '').encode()
        needs_credential = request.path.startswith(('/table', '/objects'))
        if (
            not state.credential
            or not needs_credential
            or hmac.compare_digest(authorization, expected)
        ):
            return None
        return Response(b'', status=401)

    @app.before_request
    async def send_garbage() -> Response | None:
        fault = state.faults.get(request.path.split('/')[1])
        if request.method == 'PUT' or fault is None or fault.mode != 'garbage':
            return None
        return Response(fault.content.encode())

    @app.post('/faults')
    async def faults() -> Response:
        message = await request.get_json()
        service = message.pop('service')
        state.faults[service] = Fault(**message)
        return jsonify({})

    @app.get('/counts')
    async def counts() -> Response:
        return jsonify(state.operation_counts)

    return app


def _add_table_routes(app: QuartTrio, state: PlatformState) -> None:
    @app.post('/table/transactions')
    async def transactions() -> Response:
        puts = (await request.get_json(force=True))['puts']
        mode = await _apply_fault(state, 'table')
        if mode == 'down':
            return Response(b'', status=503)
        if len(puts) > _MAX_TRANSACTION_PUTS:
            return Response(b'', status=400)
        state.count('transactions')
        state.count('rows_written', len(puts))
        failed = state.commit(puts)
        if mode == 'lose_answers':
            return Response(b'', status=504)
        if failed:
            return Response(
                b'{"failed": [%s]}' % b','.join(b'"%s"' % key.encode() for key in failed),
                status=409,
                content_type='application/json',
            )
        return jsonify({})

    @app.get('/table/rows/<path:key>')
    async def read_row(key: str) -> Response:
        if await _apply_fault(state, 'table') == 'down':
            return Response(b'', status=503)
        state.count('reads')
        if key not in state.rows:
            return Response(b'', status=404)
        version, value = state.rows[key]
        return jsonify({'key': key, 'version': version, 'value': value})

    @app.get('/table/rows')
    async def read_rows() -> Response:
        if await _apply_fault(state, 'table') == 'down':
            return Response(b'', status=503)
        state.count('reads')
        prefix = request.args['prefix']
        start = bisect.bisect_right(state.keys, request.args['after'])
        stop = start + request.args.get('limit', 100, type=int)
        keys = [key for key in state.keys[start:stop] if key.startswith(prefix)]
        return jsonify(
            [
                {'key': key, 'version': state.rows[key][0], 'value': state.rows[key][1]}
                for key in keys
            ]
        )


def _add_object_routes(app: QuartTrio, state: PlatformState) -> None:
    @app.put('/objects/<path:name>')
    async def write_object(name: str) -> Response:
        content = await request.get_data()
        mode = await _apply_fault(state, 'objects')
        if mode == 'down':
            return Response(b'', status=503)
        state.count('object_writes')
        state.objects[name] = content
        return Response(b'', status=504) if mode == 'lose_answers' else jsonify({})

    @app.get('/objects/<path:name>')
    async def read_object(name: str) -> Response:
        if await _apply_fault(state, 'objects') == 'down':
            return Response(b'', status=503)
        if name not in state.objects:
            return Response(b'', status=404)
        return Response(state.objects[name])

    @app.get('/weights/<path:_name>')
    async def weights(_name: str) -> Response:
        if await _apply_fault(state, 'weights') == 'down':
            return Response(b'', status=503)
        now = trio.current_time()
        if now < state.next_weights_read_at:
            return Response(b'', status=429, headers={'Retry-After': '1'})
        state.next_weights_read_at = now + 1 / _WEIGHT_RATE_PER_SECOND
        return Response(b'weights')


def _add_live_routes(app: QuartTrio, state: PlatformState) -> None:
    @app.put('/live/<name>')
    async def announce(name: str) -> Response:
        state.live[name] = (trio.current_time(), await request.get_json(force=True))
        return jsonify({})

    @app.delete('/live/<name>')
    async def withdraw(name: str) -> Response:
        state.live.pop(name, None)
        return jsonify({})

    @app.get('/live')
    async def read_live() -> Response:
        if await _apply_fault(state, 'live') == 'down':
            return Response(b'', status=503)
        return jsonify(state.published_live)


async def _publish_live_list(state: PlatformState) -> None:
    while True:
        await trio.sleep(state.live_lag)
        state.published_live = [entry for _, entry in state.live.values()]


async def _main(port: int, live_lag: float, credential: str) -> None:
    state = PlatformState(live_lag=live_lag, credential=credential)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_publish_live_list, state)
        await host([(create_app(state), port)])


def main(port: int = 0, live_lag: float = 0.3, credential: str = '') -> None:
    """Runs the emulated platform.

    Args:
        port: TCP port; zero lets the kernel choose.
        live_lag: Interval in seconds at which changes are published in the live list.
        credential: Bearer credential that table and objects require; empty for none.
    """
    trio.run(_main, port, live_lag, str(credential))


if __name__ == '__main__':
    fire.Fire(main)
