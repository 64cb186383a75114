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
from fireflymux.experiment.simulation import simulate
from fireflymux.experiment.summary import summarize

_ROOT = Path(__file__).resolve().parent.parent.parent
_INVALID_EXPERIMENT = """[experiment]
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
def write_invalid_experiment(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / 'bad.ini'
    context.path.write_text(_INVALID_EXPERIMENT)


@when('the experiment is run')
def run_invalid_experiment(context):
    context.completed = subprocess.run(
        [sys.executable, '-m', 'fireflymux', 'experiment', str(context.path)],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it exits with code 2 and names all four problems')
def check_reported_problems(context):
    assert context.completed.returncode == 2, context.completed
    for problem in ('weather', 'colour', 'seconds', "'100x4 and 5'"):
        assert problem in context.completed.stderr, context.completed.stderr


@given(
    'an engine that processes 1000 prompt tokens per second in chunks of 100, with steps of 10 ms'
)
def define_engine_model(context):
    context.model = EngineModel(
        slots=4,
        chunk_tokens=100,
        step_seconds=0.01,
        request_seconds=0.0,
        prompt_tokens_per_second=1000.0,
        event_tokens=1,
    )


async def _measure_token_time(model, prompt_tokens):
    """Returns the mean time of the four tokens after the first one, in seconds.

    A request with a prompt of `prompt_tokens` tokens starts after the first token; 0 starts none.
    """
    async with trio.open_nursery() as nursery:
        engine = SimulatedEngine(model, 1.0)
        nursery.start_soon(engine.work)
        run = engine.begin((), 1, 11)
        await run.wait_for_event(0)
        started = trio.current_time()
        if prompt_tokens:
            engine.begin((), prompt_tokens, 1)
        await run.wait_for_event(4)
        seconds = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return seconds / 4


@when('a response of 10 tokens is generated alone, and next to a prompt of 500 tokens')
def measure_token_times(context):
    def run(tokens):
        clock = MockClock(autojump_threshold=0)
        return trio.run(_measure_token_time, context.model, tokens, clock=clock)

    context.seconds = run(0), run(500)


@then('each of its tokens takes 10 ms alone and 110 ms next to the prompt')
def check_token_times(context):
    alone, next_to_prompt = context.seconds
    assert abs(alone - 0.01) < 1e-6, alone
    # The step in progress when the prompt arrives contains no chunk of it, which lowers the mean.
    assert 0.0825 < next_to_prompt <= 0.11 + 1e-6, next_to_prompt


@given('an experiment with one load of {rate:d} requests per second')
def plan_one_load(context, rate):
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


def _simulate(plan, name='default', seed=1):
    with logbook.NullHandler().applicationbound():
        return simulate(plan, name, seed)


def _find_on_time_percentages(plan):
    results = [_simulate(plan, name) for name in plan.policies]
    return [summary.on_time for summary in summarize(plan, results)]


@when('the load is generated twice from one seed and once from another')
def generate_loads(context):
    context.generated_loads = [draw_prompts(context.plan, seed) for seed in (1, 1, 2)]


@then('the two loads of one seed are equal and the third differs')
def compare_generated_loads(context):
    first, again, other = context.generated_loads
    assert first == again and len(first) > 100, len(first)
    assert first != other


@when('it is simulated, and again at {times:d} times the request rate')
def simulate_light_and_heavy_load(context, times):
    rate = context.plan.loads['drafts'].rate_per_second
    context.on_time = _find_on_time_percentages(context.plan) + _find_on_time_percentages(
        _build_plan(rate * times)
    )


@then(
    'at least {least:d} % of the light load and less than {most:d} % of the heavy load is on time'
)
def check_light_and_heavy_load(context, least, most):
    light, heavy = context.on_time
    assert light >= least and heavy < most, context.on_time


@when(
    'it is simulated with the default policy and with a policy that places every request at once'
)
def simulate_default_and_place_all(context):
    rate = context.plan.loads['drafts'].rate_per_second
    everything = PlacingPolicy(target_part=1000.0, over_share_part=1000.0)
    context.on_time = _find_on_time_percentages(
        _build_plan(rate, default=PlacingPolicy(), everything=everything)
    )


@then('the default policy has at least {least:d} percentage points more on time')
def check_default_gain(context, least):
    default, everything = context.on_time
    assert default >= everything + least, context.on_time


#: Requests per second of `_build_slots_plan` that 8 engines of 16 slots can serve.
_SLOTS_REQUESTS_PER_SECOND = 170.0


def _build_slots_plan(times, **policies):
    rate = _SLOTS_REQUESTS_PER_SECOND * times
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
def define_slots_policies(context):
    context.policies = {'default': PlacingPolicy(), 'slots-only': PlacingPolicy(held_part=1.0)}


@when('it is simulated at one, two and four times the rate that the slots can serve')
def simulate_overload(context):
    context.rates_on_time = {name: [] for name in context.policies}
    for times in (1, 2, 4):
        on_time = _find_on_time_percentages(_build_slots_plan(times, **context.policies))
        for name, percentage in zip(context.policies, on_time, strict=True):
            context.rates_on_time[name].append(percentage * times)


@then('the rate of requests on time at each load is at least {fraction:g} of the highest')
def check_rates_on_time(context, fraction):
    rates_on_time = context.rates_on_time['default']
    assert min(rates_on_time) >= fraction * max(rates_on_time), context.rates_on_time


@then('it is at least {times:g} times the rate without requests held beyond the slots')
def check_gain_over_slots_only(context, times):
    pairs = zip(context.rates_on_time['default'], context.rates_on_time['slots-only'], strict=True)
    for default, slots_only in pairs:
        assert default >= times * slots_only, context.rates_on_time


@given('the experiment in which one account after the other sends many times its usual load')
def load_hot_accounts_plan(context):
    path = _ROOT / 'deploy' / 'experiments' / 'hot-accounts.ini'
    context.plan = ExperimentPlan.from_file(str(path))


@when('it is simulated with each of its seeds')
def simulate_seeds(context):
    seeds = range(1, context.plan.fleet.seeds + 1)
    context.results = [_simulate(context.plan, seed=seed) for seed in seeds]


@then('in any {seconds:d} seconds each account gets at least half of what the best-served one got')
def check_least_share(context, seconds):
    assert seconds == WINDOW_SECONDS
    shares = [find_least_share(result.callers, context.plan.loads) for result in context.results]
    assert min(shares) >= 0.5, shares


def _build_sessions_plan(link_megabits):
    return ExperimentPlan(
        fleet=FleetTerms(seconds=6.0, seeds=1, instances=4, engines=6, failure_domains=3),
        engine=EngineModel(cache_tokens=338000, event_tokens=7, link_megabits=link_megabits),
        loads={
            'drafts': LoadTerms(
                rate_per_second=45.0,
                shared='2520x4 3780x250',
                own_tokens=2890.0,
                output_tokens=52.0,
            ),
            'answers': LoadTerms(
                rate_per_second=85.0, shared='341x9 227x190', own_tokens=1230.0, output_tokens=23.0
            ),
        },
        bursts=(),
        policies={'default': PlacingPolicy()},
    )


@given('an experiment with sessions that come back and engines that are short of capacity')
def define_sessions(context):
    context.plans = [_build_sessions_plan(link_megabits) for link_megabits in (0.0, 550000.0)]


@when('it is simulated with engines that cannot copy cached parts and with engines that can')
def simulate_sessions(context):
    context.summaries = [
        summarize(plan, [_simulate(plan, seed=seed) for seed in (1, 2)])[0]
        for plan in context.plans
    ]


@then(
    'the engines that can process fewer shared tokens again,'
    ' and more requests of each load are on time'
)
def check_reread(context):
    without, copying = context.summaries
    assert copying.reread < without.reread, (copying.reread, without.reread)
    for load, on_time in copying.on_time_by_load.items():
        assert on_time > without.on_time_by_load[load], (load, copying, without)
