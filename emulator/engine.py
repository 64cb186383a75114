"""Stand-in for model engines with continuous batching.

Run as `python -m emulator.engine --count N`. An engine admits requests as they arrive, knows
no priorities, and gives each request of its batch one token a step. What a request costs is
hidden in the member `emulator` of its body. Each token repeats the request's nonce, so that a
crossed or spliced answer is seen.
"""

from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from typing import Any

import attrs
import fire
import orjson
import trio
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from .hosting import host

_MAX_RETAINED_REQUESTS = 2000
_CRASH_DOWNTIME_SECONDS = 1.0
#: Steps by which the load report lags.
_LOAD_REPORT_LAG_STEPS = 3


@attrs.define(eq=False)
class Generation:
    """One request on the engine."""

    request_id: str
    nonce: str
    tokens: int
    model: str
    prefill_steps: int = 0
    produced: int = 0
    content: bytearray = attrs.field(factory=bytearray)
    submitted_at: float = 0.0
    finished: bool = False
    failed: bool = False
    changed: trio.Event = attrs.field(factory=trio.Event)

    def notify(self) -> None:
        """Wakes the readers."""
        self.changed.set()
        self.changed = trio.Event()


@attrs.define(eq=False)
class Engine:
    """State of one engine."""

    slots: int
    step_seconds: float
    tokens_per_step: int
    checks_fencing: bool
    cache_entries: int
    waiting: list[Generation] = attrs.field(factory=list)
    batch: list[Generation] = attrs.field(factory=list)
    retained: OrderedDict[str, Generation] = attrs.field(factory=OrderedDict)
    prefixes: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    highest_fencing_token: int = 0
    busy_slot_seconds: float = 0.0
    unavailable_until: float = 0.0
    crashes: int = 0
    sends_wrong_response_next: bool = False
    first_token_seconds: list[float] = attrs.field(factory=list)
    load: dict[str, int] = attrs.field(factory=dict)
    load_reports: deque[dict[str, int]] = attrs.field(
        factory=lambda: deque(maxlen=_LOAD_REPORT_LAG_STEPS)
    )
    served: dict[str, int] = attrs.field(factory=dict)

    def submit(self, generation: Generation) -> None:
        """Admits a request as it arrives."""
        self.retained[generation.request_id] = generation
        while len(self.retained) > _MAX_RETAINED_REQUESTS:
            self.retained.popitem(last=False)
        generation.submitted_at = trio.current_time()
        self.waiting.append(generation)
        self.history.append({'request': generation.request_id, 'nonce': generation.nonce})

    def crash(self) -> None:
        """Breaks every running request and forgets everything."""
        for generation in [*self.batch, *self.waiting]:
            generation.failed = True
            generation.finished = True
            generation.notify()
        self.batch.clear()
        self.waiting.clear()
        self.retained.clear()
        self.crashes += 1
        self.unavailable_until = trio.current_time() + _CRASH_DOWNTIME_SECONDS

    def step(self) -> None:
        """Gives each request of the batch its tokens."""
        while self.waiting and len(self.batch) < self.slots:
            self.batch.append(self.waiting.pop(0))
        self.busy_slot_seconds += len(self.batch) * self.step_seconds
        for generation in list(self.batch):
            self._advance(generation)
            if generation.finished and generation in self.batch:
                self.batch.remove(generation)
        self.load_reports.append({'running': len(self.batch), 'waiting': len(self.waiting)})
        self.load = self.load_reports[0]

    def _advance(self, generation: Generation) -> None:
        if generation.prefill_steps > 0:
            generation.prefill_steps -= 1
            return
        if generation.produced == 0:
            self.first_token_seconds.append(trio.current_time() - generation.submitted_at)
        account = generation.nonce.partition('-')[0]
        count = min(self.tokens_per_step, generation.tokens - generation.produced)
        self.served[account] = self.served.get(account, 0) + count
        for _ in range(count):
            text = '{0}:{1} '.format(generation.nonce, generation.produced)
            generation.content += (
                b'data: {"id":"%s","object":"chat.completion.chunk","choices":'
                b'[{"index":0,"delta":{"content":"%s"}}]}\n\n'
                % (generation.request_id.encode(), text.encode())
            )
            generation.produced += 1
        if generation.produced >= generation.tokens:
            generation.content += b'data: [DONE]\n\n'
            generation.finished = True
        generation.notify()

    async def run(self) -> None:
        """Steps until cancelled."""
        deadline = trio.current_time()
        while True:
            deadline = max(deadline + self.step_seconds, trio.current_time())
            await trio.sleep_until(deadline)
            self.step()

    def touch_prefix(self, prefix: str) -> bool:
        """Looks a prompt prefix up in the cache of limited size and inserts it."""
        is_cached = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > self.cache_entries:
            self.prefixes.popitem(last=False)
        return is_cached


async def _stream_content(generation: Generation, offset: int) -> AsyncIterator[bytes]:
    while True:
        if len(generation.content) > offset:
            chunk = bytes(generation.content[offset:])
            offset += len(chunk)
            yield chunk
            continue
        if generation.finished:
            return
        await generation.changed.wait()


async def _await_response(generation: Generation) -> Response:
    while not generation.finished:
        await generation.changed.wait()
    if generation.failed:
        return Response(b'', status=500)
    text = ''.join(
        '{0}:{1} '.format(generation.nonce, index) for index in range(generation.tokens)
    )
    return jsonify(
        {
            'id': generation.request_id,
            'object': 'chat.completion',
            'choices': [{'index': 0, 'message': {'role': 'assistant', 'content': text}}],
            'usage': {'completion_tokens': generation.tokens},
        }
    )


def create_app(engine: Engine) -> QuartTrio:
    """Creates the application of an engine."""
    app = QuartTrio('emulator.engine')

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        if trio.current_time() < engine.unavailable_until:
            return Response(b'', status=503)
        message = orjson.loads(await request.get_data())
        options = message.get('emulator', {})
        request_id = request.headers['X-Request-Id']
        generation = Generation(
            request_id=request_id,
            nonce=str(options.get('nonce', request_id)),
            tokens=int(options.get('tokens', 16)),
            model=message['model'],
        )
        is_cached = engine.touch_prefix(str(message['messages'][0].get('content', ''))[:64])
        generation.prefill_steps = 0 if is_cached else 1
        engine.submit(generation)
        if options.get('crash'):
            engine.crash()
        if not message.get('stream'):
            return await _await_response(generation)
        headers = {'Content-Type': 'text/event-stream', 'X-Request-Id': request_id}
        if engine.sends_wrong_response_next:
            engine.sends_wrong_response_next = False
            headers['X-Request-Id'] = 'another-request.1'
            generation = Generation('another-request.1', 'another', tokens=3, model='', produced=3)
            generation.content += b'data: [DONE]\n\n'
            generation.finished = True
        response = Response(_stream_content(generation, 0), headers=headers)
        response.timeout = None
        return response

    @app.get('/v1/requests/<name>/stream')
    async def resume(name: str) -> Response:
        generation = engine.retained.get(name)
        offset = request.args.get('offset', 0, type=int)
        if generation is None or offset > len(generation.content):
            return Response(b'', status=404)
        headers = {'Content-Type': 'text/event-stream', 'X-Request-Id': name}
        response = Response(_stream_content(generation, offset), headers=headers)
        response.timeout = None
        return response

    @app.delete('/v1/requests/<name>')
    async def cancel(name: str) -> Response:
        generation = engine.retained.get(name)
        if generation is not None:
            generation.tokens = generation.produced
            generation.finished = True
            generation.notify()
        return Response(b'', status=204)

    _add_control_routes(app, engine)
    return app


def _add_control_routes(app: QuartTrio, engine: Engine) -> None:
    @app.get('/v1/load')
    async def load() -> Response:
        return jsonify(engine.load)

    @app.post('/v1/orders')
    async def orders() -> Response:
        order = await request.get_json(force=True)
        if engine.checks_fencing and order['fencing_token'] < engine.highest_fencing_token:
            return Response(b'', status=409)
        engine.highest_fencing_token = max(engine.highest_fencing_token, order['fencing_token'])
        engine.orders.append(order)
        return jsonify({})

    @app.post('/cross')
    async def cross() -> Response:
        engine.sends_wrong_response_next = True
        return jsonify({})

    @app.post('/crash')
    async def crash() -> Response:
        engine.crash()
        return jsonify({})

    @app.get('/served')
    async def served() -> Response:
        return jsonify({'served': engine.served, 'busy_slot_seconds': engine.busy_slot_seconds})

    @app.get('/stats')
    async def stats() -> Response:
        return jsonify(
            {
                'busy_slot_seconds': engine.busy_slot_seconds,
                'slots': engine.slots,
                'history': engine.history,
                'orders': engine.orders,
                'crashes': engine.crashes,
                'first_tokens': engine.first_token_seconds,
            }
        )


async def _main(engines: list[Engine], ports: list[int]) -> None:
    async with trio.open_nursery() as nursery:
        for engine in engines:
            nursery.start_soon(engine.run)
        await host([(create_app(engine), port) for engine, port in zip(engines, ports)])


def main(
    count: int = 1,
    slots: int = 8,
    step_milliseconds: float = 20.0,
    tokens_per_step: int = 1,
    checks_fencing: bool = True,
    cache_entries: int = 256,
    port: int = 0,
) -> None:
    """Runs stand-in engines.

    Args:
        count: Number of engines in this process.
        slots: Requests in the batch of each engine.
        step_milliseconds: Time of one step.
        tokens_per_step: Tokens that each request gets in a step.
        checks_fencing: Whether an order with an old fencing token is refused.
        cache_entries: Prompt prefixes that the cache holds.
        port: TCP port of the first engine; zero lets the kernel choose.
    """
    engines = [
        Engine(slots, step_milliseconds / 1000, tokens_per_step, checks_fencing, cache_entries)
        for _ in range(count)
    ]
    ports = [port + index if port else 0 for index in range(count)]
    trio.run(_main, engines, ports)


if __name__ == '__main__':
    fire.Fire(main)
