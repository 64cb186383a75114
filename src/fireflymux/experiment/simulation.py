"""Simulates the load of one seed under one policy, in simulated time."""

import random

import attrs
import trio
from trio.testing import MockClock

from .callers import CallerResult, send_prompt
from .fleet import SimulatedFleet
from .load import Prompt, draw_prompts
from .plan import ExperimentPlan


@attrs.define(kw_only=True)
class SimulationResult:
    """Result of one simulation.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the load.
        callers: Results of all prompts.
        read_tokens: Prompt tokens that engines read.
        reread_tokens: Tokens of shared prompt parts among them.
        busy_fraction: Fraction of the time in which engines were busy, averaged over engines.
    """

    policy: str
    seed: int
    callers: list[CallerResult]
    read_tokens: int
    reread_tokens: int
    busy_fraction: float


def simulate(plan: ExperimentPlan, name: str, seed: int) -> SimulationResult:
    """Simulates the load of one seed under one policy.

    Args:
        plan: The experiment.
        name: Name of the policy.
        seed: Seed of the load and of random choices.

    Returns:
        The result. The load depends only on the seed, but results for one seed differ slightly,
        since trio runs tasks that are due at the same time in random order.
    """
    prompts = draw_prompts(plan, seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_simulate, plan, name, seed, prompts, clock=clock)


async def _simulate(
    plan: ExperimentPlan, name: str, seed: int, prompts: list[Prompt]
) -> SimulationResult:
    rng = random.Random(seed)
    prompts_by_target = {prompt.target: prompt for prompt in prompts}
    fleet = SimulatedFleet(plan, plan.policies[name], prompts_by_target, rng)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        callers = await _send_prompts(plan, fleet, prompts, rng)
        nursery.cancel_scope.cancel()
    seconds = trio.current_time() - started_at
    engines = fleet.engines.values()
    return SimulationResult(
        policy=name,
        seed=seed,
        callers=callers,
        read_tokens=sum(engine.read_tokens for engine in engines),
        reread_tokens=sum(engine.reread_tokens for engine in engines),
        busy_fraction=sum(engine.busy_seconds for engine in engines) / seconds / len(engines),
    )


async def _send_prompts(
    plan: ExperimentPlan, fleet: SimulatedFleet, prompts: list[Prompt], rng: random.Random
) -> list[CallerResult]:
    caller_results: list[CallerResult] = []
    started_at = trio.current_time()

    async def send_and_record(prompt: Prompt) -> None:
        caller_results.append(
            await send_prompt(prompt, plan.loads[prompt.load], fleet.instances, rng)
        )

    async with trio.open_nursery() as callers:
        for prompt in prompts:
            await trio.sleep_until(started_at + prompt.at)
            callers.start_soon(send_and_record, prompt)
    return caller_results
