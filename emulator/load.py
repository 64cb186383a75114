"""Closed-loop load: each account keeps a number of requests open at its routers."""

import random
from collections.abc import Mapping, Sequence

import attrs
import httpx
import orjson
import trio

_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)
_SAMPLE_SECONDS = 0.25


@attrs.define(frozen=True, kw_only=True)
class AccountLoad:
    """What one account asks for.

    Attributes:
        account: The client account.
        weight: Weight of its contract.
        routers: URLs that its requests go to.
        open_requests: Requests that it keeps open.
        tokens: Smallest and largest cost of a request.
        start: Seconds after which it begins.
        stop: Seconds after which it ends.
    """

    account: str
    weight: float
    routers: Sequence[str]
    open_requests: int
    tokens: tuple[int, int]
    start: float = 0.0
    stop: float = float('inf')


@attrs.define
class LoadResult:
    """What a run of load gave.

    Attributes:
        samples: Time, tokens served by account and busy slot seconds, in order.
        answered: Whole answers by account.
        refused: Refusals by kind.
        first_token: Times to the first chunk in seconds.
        between: Longest time between two chunks of each answer in seconds.
    """

    samples: list[tuple[float, dict[str, float], float]] = attrs.field(factory=list)
    answered: dict[str, int] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    first_token_seconds: list[float] = attrs.field(factory=list)
    longest_gap_seconds: list[float] = attrs.field(factory=list)


class Load:
    """One run of load against a fleet."""

    def __init__(
        self, loads: Sequence[AccountLoad], engines: Sequence[str], *, seed: int, model: str
    ) -> None:
        """Prepares a run."""
        self._loads = loads
        self._engines = engines
        self._rng = random.Random(seed)
        self._model = model
        self._result = LoadResult()
        self._client = httpx.AsyncClient(timeout=None, limits=_UNLIMITED, trust_env=False)
        self._started_at = 0.0

    async def run(self, seconds: float) -> LoadResult:
        """Applies the load for a time and returns what it gave."""
        self._started_at = trio.current_time()
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take_samples)
                for load in self._loads:
                    for number in range(load.open_requests):
                        nursery.start_soon(self._keep_open, load, number)
        with trio.CancelScope(shield=True):
            await self._client.aclose()
        return self._result

    async def _keep_open(self, load: AccountLoad, worker: int) -> None:
        await trio.sleep(load.start)
        router = load.routers[worker % len(load.routers)]
        request = 0
        while trio.current_time() - self._started_at < load.stop:
            request += 1
            try:
                await self._send_request(load, router, f'{load.account}-{worker}-{request}')
            except httpx.HTTPError as error:
                self._count_refusal(type(error).__name__)
                await trio.sleep(0.1)

    async def _send_request(self, load: AccountLoad, router: str, nonce: str) -> None:
        body = {
            'model': self._model,
            'messages': [{'role': 'user', 'content': 'hello'}],
            'stream': True,
            'emulator': {'tokens': self._rng.randint(*load.tokens), 'nonce': nonce},
        }
        headers = {'Authorization': f'Bearer {load.account}.secret'}
        sent_at = trio.current_time()
        async with self._client.stream(
            'POST', f'{router}/v1/chat/completions', content=orjson.dumps(body), headers=headers
        ) as response:
            if response.status_code != 200:
                problem = orjson.loads(await response.aread())
                self._count_refusal(problem.get('kind', str(response.status_code)))
                await trio.sleep(float(response.headers.get('Retry-After', 0)) or 0.05)
                return
            await self._record_timing(response, sent_at)
        answered = self._result.answered
        answered[load.account] = answered.get(load.account, 0) + 1

    async def _record_timing(self, response: httpx.Response, sent_at: float) -> None:
        previous_chunk_at = 0.0
        longest_gap = 0.0
        async for _ in response.aiter_raw():
            now = trio.current_time()
            if previous_chunk_at:
                longest_gap = max(longest_gap, now - previous_chunk_at)
            else:
                self._result.first_token_seconds.append(now - sent_at)
            previous_chunk_at = now
        self._result.longest_gap_seconds.append(longest_gap)

    def _count_refusal(self, kind: str) -> None:
        self._result.refused[kind] = self._result.refused.get(kind, 0) + 1

    async def _take_samples(self) -> None:
        while True:
            served: dict[str, float] = {}
            busy_slot_seconds = 0.0
            for engine in self._engines:
                stats = (await self._client.get(f'{engine}/served')).json()
                busy_slot_seconds += stats['busy_slot_seconds']
                for account, tokens in stats['served'].items():
                    served[account] = served.get(account, 0.0) + tokens
            elapsed = trio.current_time() - self._started_at
            self._result.samples.append((elapsed, served, busy_slot_seconds))
            await trio.sleep(_SAMPLE_SECONDS)


def fairness_gap(
    result: LoadResult, weights: Mapping[str, float], *, start: float, stop: float = float('inf')
) -> float:
    """Returns the largest difference of weighted service between two accounts.

    The largest over all pairs and all intervals between two samples, in cost units: the spread
    of the difference of their cumulative service.

    Args:
        result: A run in which the accounts were backlogged from start to stop.
        weights: Weight by account.
        start: First second to look at.
        stop: Last second to look at.
    """
    samples = [served for at, served, _ in result.samples if start <= at <= stop]
    normalized = [
        {name: served.get(name, 0.0) / weight for name, weight in weights.items()}
        for served in samples
    ]
    names = sorted(weights)
    gap = 0.0
    for index, account in enumerate(names):
        for other in names[index + 1 :]:
            differences = [sample[account] - sample[other] for sample in normalized]
            gap = max(gap, max(differences) - min(differences))
    return gap


def utilisation(result: LoadResult, slots: int, *, start: float) -> float:
    """Returns the part of the engines' slots that was busy after a second."""
    samples = [(at, busy) for at, _, busy in result.samples if at >= start]
    (first_at, first_busy), (last_at, last_busy) = samples[0], samples[-1]
    return (last_busy - first_busy) / ((last_at - first_at) * slots)
