"""Draws the requests of one simulation from its seed, so that all policies get the same load."""

import math
import random
from collections.abc import Iterator, Sequence

import attrs

from ..decisions.prompts import PromptPart
from .plan import Burst, ExperimentPlan, LoadTerms, parse_shared

_MINIMUM_TOKENS = 1
#: Upper bound on drawn lengths, as a multiple of the mean.
_MAXIMUM_MEAN_MULTIPLE = 12


@attrs.define(frozen=True, kw_only=True)
class Prompt:
    """One request of a caller.

    Attributes:
        number: Position in the order in which the requests are first sent.
        load: Name of the load that it belongs to.
        account: Rank of its client account.
        caller: Number of its caller.
        at: Time at which it is first sent, in seconds from the start.
        parts: Parts of its prompt in order; all but the last are shared with other prompts.
        output_tokens: Length of the response in tokens.
        hint_tokens: Length of the response that the caller states in advance, in tokens.
    """

    number: int
    load: str
    account: int
    caller: int
    at: float
    parts: tuple[PromptPart, ...]
    output_tokens: int
    hint_tokens: int

    @property
    def target(self) -> bytes:
        """Request target, which is unique."""
        return '/{0}/{1}'.format(self.load, self.number).encode()

    @property
    def attempt(self) -> bytes:
        """Identifier of the request, the same for all attempts."""
        return b'prompt-%d' % self.number

    @property
    def tokens(self) -> int:
        """Length of its prompt in tokens."""
        return sum(part.tokens for part in self.parts)


def draw_prompts(plan: ExperimentPlan, seed: int) -> list[Prompt]:
    """Draws all requests of a simulation.

    Args:
        plan: The experiment.
        seed: The seed.

    Returns:
        The requests in the order in which they are first sent.
    """
    rng = random.Random(seed)
    drawn: list[Prompt] = []
    for name, terms in plan.loads.items():
        drawn.extend(_draw_load(plan, name, terms, rng))
    drawn.sort(key=lambda prompt: prompt.at)
    return [attrs.evolve(prompt, number=number) for number, prompt in enumerate(drawn)]


def _draw_load(
    plan: ExperimentPlan, name: str, terms: LoadTerms, rng: random.Random
) -> Iterator[Prompt]:
    base_weights = [
        1 / (rank + 1) ** plan.fleet.account_skew for rank in range(plan.fleet.accounts)
    ]
    bursts = [burst for burst in plan.bursts if burst.load in {'', name}]
    at = 0.0
    while True:
        factors = [_compute_burst_factor(bursts, rank, at) for rank in range(plan.fleet.accounts)]
        account_weights = [
            weight * factor for weight, factor in zip(base_weights, factors, strict=True)
        ]
        rate = terms.rate_per_second * sum(account_weights) / sum(base_weights)
        at += rng.expovariate(rate)
        if at >= plan.fleet.seconds:
            return
        account = rng.choices(range(plan.fleet.accounts), account_weights)[0]
        output_tokens = _draw_length(rng, terms.output_tokens, terms.spread)
        yield Prompt(
            number=0,
            load=name,
            account=account,
            caller=rng.randrange(plan.fleet.callers),
            at=at,
            parts=_draw_parts(name, terms, rng),
            output_tokens=output_tokens,
            hint_tokens=_draw_length(rng, output_tokens, terms.spread / 2),
        )


def _compute_burst_factor(bursts: Sequence[Burst], account: int, at: float) -> float:
    factor = 1.0
    for burst in bursts:
        if burst.at <= at < burst.at + burst.seconds and burst.account in {-1, account}:
            factor *= burst.factor
    return factor


def _draw_parts(name: str, terms: LoadTerms, rng: random.Random) -> tuple[PromptPart, ...]:
    parts = []
    path = name
    for tokens, number in parse_shared(terms.shared):
        path = '{0}/{1}'.format(path, rng.randrange(number))
        # A shared part depends only on its path, so that all prompts that have the part agree on
        # its identifier and length.
        path_rng = random.Random(path)
        length = _draw_length(path_rng, tokens, terms.spread / 2)
        parts.append(PromptPart(path_rng.getrandbits(32), length))
    length = _draw_length(rng, terms.own_tokens, terms.spread)
    parts.append(PromptPart(rng.getrandbits(32), length))
    return tuple(parts)


def _draw_length(rng: random.Random, mean: float, spread: float) -> int:
    drawn = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return max(int(min(drawn, _MAXIMUM_MEAN_MULTIPLE * mean)), _MINIMUM_TOKENS)
