"""Closed-loop load generator: each account keeps a fixed number of requests open."""

import random
from collections.abc import Mapping, Sequence

import attrs
import httpx
import orjson
import trio

_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)
_SAMPLE_INTERVAL_SECONDS = 0.25


@attrs.define(frozen=True, kw_only=True)
class AccountLoad:
    """Load of one account.

    Attributes:
        account: The client account.
        weight: Weight of its contract.
        routers: URLs of the routers, over which its open requests are spread.
        open_requests: Number of requests that it keeps open.
        tokens: Smallest and largest number of output tokens of a request.
        start: Seconds after the start of the run at which it begins.
        stop: Seconds after the start of the run from which on it sends no new requests.
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
    """Results of one run.

    Attributes:
        samples: Time since the start, tokens served by account and busy slot seconds, both
            accumulated over all engines; in order of time.
        answered: Number of complete answers by account.
        refused: Number of failed requests by kind of error.
        first_token_seconds: Time to the first chunk of each answer.
        longest_gap_seconds: Longest time between two chunks of each answer.
    """

    samples: list[tuple[float, dict[str, float], float]] = attrs.field(factory=list)
    answered: dict[str, int] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    first_token_seconds: list[float] = attrs.field(factory=list)
    longest_gap_seconds: list[float] = attrs.field(factory=list)


class Load:
    """One run of the load against a fleet."""

    def __init__(
        self, loads: Sequence[AccountLoad], engines: Sequence[str], *, seed: int, model: str
    ) -> None:
        """Prepares a run.

        Args:
            loads: Load of each account.
            engines: URLs of the engines, whose service is sampled.
            seed: Seed of the random costs.
            model: Model that the requests name.
        """
        self._loads = loads
        self._engines = engines
        self._rng = random.Random(seed)
        self._model = model
        self._result = LoadResult()
        self._client = httpx.AsyncClient(timeout=None, limits=_UNLIMITED, trust_env=False)
        self._started_at = 0.0

    async def run(self, seconds: float) -> LoadResult:
        """Applies the load for a number of seconds and returns the results."""
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
        """Sends requests one after the other, so that one of them is always open."""
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
        """Samples the service of all engines at fixed intervals until cancelled."""
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
            await trio.sleep(_SAMPLE_INTERVAL_SECONDS)


def fairness_gap(
    result: LoadResult, weights: Mapping[str, float], *, start: float, stop: float = float('inf')
) -> float:
    """Returns the largest difference in normalized service between two accounts.

    Normalized service is the tokens served divided by the weight. The difference is taken over
    every interval between two samples and every pair of accounts. For one pair, the largest one is
    the range of the difference of their cumulative normalized service.

    Args:
        result: Results of a run in which the accounts were backlogged from start to stop.
        weights: Weight by account.
        start: Time of the first sample that counts, in seconds.
        stop: Time of the last sample that counts, in seconds.

    Returns:
        The fairness gap in cost units for weight one.
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
    """Returns the fraction of the slot time that was busy.

    Args:
        result: Results of a run.
        slots: Number of slots of all engines.
        start: Time of the first sample that counts, in seconds.
    """
    samples = [(at, busy) for at, _, busy in result.samples if at >= start]
    (first_at, first_busy), (last_at, last_busy) = samples[0], samples[-1]
    return (last_busy - first_busy) / ((last_at - first_at) * slots)
