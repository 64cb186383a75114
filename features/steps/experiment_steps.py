"""Steps for experiments in simulated time."""

import subprocess
import sys
import tempfile
from pathlib import Path

import logbook
import trio
from behave import given, then, when
from trio.testing import MockClock

from fireflymux.decisions.placing_policy import PlacingPolicy
from fireflymux.experiment.engine import SimulatedEngine
from fireflymux.experiment.fairness import WINDOW_SECONDS, find_least_share
from fireflymux.experiment.load import draw_prompts
from fireflymux.experiment.plan import EngineModel, ExperimentPlan, FleetTerms, LoadTerms
from fireflymux.experiment.play import play
from fireflymux.experiment.summary import summarize

_ROOT = Path(__file__).resolve().parent.parent.parent
_BAD = """[experiment]
seconds = soon
[weather]
[load chats]
rate_per_second = 5
shared = 100x4 and 5
colour = blue
"""


@given(
    'an experiment file with an unknown section, an unknown key, an invalid number and an '
    'invalid list'
)
def write_bad(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / 'bad.ini'
    context.path.write_text(_BAD)


@when('the experiment is run')
def run_bad(context):
    context.done = subprocess.run(
        [sys.executable, '-m', 'fireflymux', 'experiment', str(context.path)],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it exits with code 2 and names all four problems')
def check_bad(context):
    assert context.done.returncode == 2, context.done
    for problem in ('weather', 'colour', 'seconds', "'100x4 and 5'"):
        assert problem in context.done.stderr, context.done.stderr


@given(
    'an engine that processes 1000 prompt tokens per second in chunks of 100, with steps of 10 ms'
)
def slow_engine(context):
    context.model = EngineModel(
        slots=4,
        chunk_tokens=100,
        step_seconds=0.01,
        request_seconds=0.0,
        prompt_tokens_per_second=1000.0,
        event_tokens=1,
    )


async def _time_tokens(model, prompt_tokens):
    """Returns the mean time of the four tokens after the first one, in seconds.

    A request with a prompt of `prompt_tokens` tokens starts after the first token; 0 starts none.
    """
    async with trio.open_nursery() as nursery:
        engine = SimulatedEngine(model, 1.0)
        nursery.start_soon(engine.work)
        run = engine.begin((), 1, 11)
        await run.wait_event(0)
        started = trio.current_time()
        if prompt_tokens:
            engine.begin((), prompt_tokens, 1)
        await run.wait_event(4)
        seconds = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return seconds / 4


@when('a response of 10 tokens is generated alone, and next to a prompt of 500 tokens')
def time_tokens(context):
    def run(tokens):
        clock = MockClock(autojump_threshold=0)
        return trio.run(_time_tokens, context.model, tokens, clock=clock)

    context.seconds = run(0), run(500)


@then('each of its tokens takes 10 ms alone and 110 ms next to the prompt')
def check_tokens(context):
    alone, beside = context.seconds
    assert abs(alone - 0.01) < 1e-6, alone
    # The step in progress when the prompt arrives contains no chunk of it, which lowers the mean.
    assert 0.0825 < beside <= 0.11 + 1e-6, beside


@given('an experiment with one load of {rate:d} requests per second')
def one_load(context, rate):
    context.plan = _build_plan(rate)


def _build_plan(rate, **policies):
    return ExperimentPlan(
        fleet=FleetTerms(seconds=4.0, seeds=1, instances=2, engines=2, failure_domains=2),
        engine=EngineModel(),
        loads={
            'drafts': LoadTerms(
                rate_per_second=float(rate), shared='800x4', own_tokens=2000.0, output_tokens=50.0
            )
        },
        bursts=(),
        policies=policies or {'default': PlacingPolicy()},
    )


def _play(plan, name='default', seed=1):
    with logbook.NullHandler().applicationbound():
        return play(plan, name, seed)


def _on_time(plan):
    plays = [_play(plan, name) for name in plan.policies]
    return [summary.on_time for summary in summarize(plan, plays)]


@when('the load is generated twice from one seed and once from another')
def draw_twice(context):
    context.drawn = [draw_prompts(context.plan, seed) for seed in (1, 1, 2)]


@then('the two loads of one seed are equal and the third differs')
def check_drawn(context):
    first, again, other = context.drawn
    assert first == again and len(first) > 100, len(first)
    assert first != other


@when('it is simulated, and again at {times:d} times the request rate')
def play_heavy(context, times):
    rate = context.plan.loads['drafts'].rate_per_second
    context.on_time = _on_time(context.plan) + _on_time(_build_plan(rate * times))


@then(
    'at least {least:d} % of the light load and less than {most:d} % of the heavy load is on time'
)
def check_heavy(context, least, most):
    light, heavy = context.on_time
    assert light >= least and heavy < most, context.on_time


@when(
    'it is simulated with the default policy and with a policy that places every request at once'
)
def play_all_placed(context):
    rate = context.plan.loads['drafts'].rate_per_second
    everything = PlacingPolicy(target_part=1000.0, over_share_part=1000.0)
    context.on_time = _on_time(_build_plan(rate, default=PlacingPolicy(), everything=everything))


@then('the default policy has at least {least:d} percentage points more on time')
def check_gain(context, least):
    default, everything = context.on_time
    assert default >= everything + least, context.on_time


#: Requests per second of `_build_slots_plan` that 8 engines of 16 slots can serve.
_SLOTS_RATE = 170.0


def _build_slots_plan(times, **policies):
    rate = _SLOTS_RATE * times
    return ExperimentPlan(
        fleet=FleetTerms(seconds=4.0, seeds=1, instances=8, engines=8, failure_domains=4),
        engine=EngineModel(slots=16),
        loads={
            'drafts': LoadTerms(
                rate_per_second=0.43 * rate,
                shared='6300x40',
                own_tokens=2890.0,
                output_tokens=54.0,
            ),
            'handovers': LoadTerms(
                rate_per_second=0.46 * rate,
                shared='568x8',
                own_tokens=1800.0,
                output_tokens=24.0,
                target_seconds=0.4,
            ),
            'chats': LoadTerms(
                rate_per_second=0.11 * rate,
                shared='172x4',
                own_tokens=543.0,
                output_tokens=282.0,
                target_seconds=0.4,
                deadline_seconds=12.0,
            ),
        },
        bursts=(),
        policies=policies,
    )


@given('an experiment with 8 instances and 8 engines of 16 slots')
def slots_plan(context):
    context.policies = {'default': PlacingPolicy(), 'slots-only': PlacingPolicy(held_part=1.0)}


@when('it is simulated at one, two and four times the rate that the slots can serve')
def play_slots(context):
    context.served = {name: [] for name in context.policies}
    for times in (1, 2, 4):
        on_time = _on_time(_build_slots_plan(times, **context.policies))
        for name, part in zip(context.policies, on_time, strict=True):
            context.served[name].append(part * times)


@then('the rate of requests on time at each load is at least {part:g} of the highest')
def check_slots(context, part):
    served = context.served['default']
    assert min(served) >= part * max(served), context.served


@then('it is at least {times:g} times the rate without requests held beyond the slots')
def check_slots_only(context, times):
    pairs = zip(context.served['default'], context.served['slots-only'], strict=True)
    for default, slots_only in pairs:
        assert default >= times * slots_only, context.served


@given('the experiment in which one account after the other sends many times its usual load')
def hot_accounts_plan(context):
    path = _ROOT / 'deploy' / 'experiments' / 'hot-accounts.ini'
    context.plan = ExperimentPlan.from_file(str(path))


@when('it is simulated with each of its seeds')
def play_seeds(context):
    seeds = range(1, context.plan.fleet.seeds + 1)
    context.plays = [_play(context.plan, seed=seed) for seed in seeds]


@then('in any {seconds:d} seconds each account gets at least half of what the best-served one got')
def check_least_share(context, seconds):
    assert seconds == WINDOW_SECONDS
    shares = [find_least_share(item.callers, context.plan.loads) for item in context.plays]
    assert min(shares) >= 0.5, shares
