"""Steps for the choice of an engine: prefix caches, sessions, long prompts."""

import itertools
import random

from behave import then, when
from hypothesis import given as generate
from hypothesis import strategies

from features.steps.decision_steps import _PROPERTY_SETTINGS
from fireflymux.decisions.engine_choice import (
    EngineView,
    choose_acceptable_engine,
    choose_engine,
    find_least_wait,
    is_worth_placing,
    may_be_placed,
    order_homes,
)
from fireflymux.decisions.prompts import PrefixCache, PromptPart

_TOKENS_PER_SECOND = 80000.0


@when('prompts that share parts are sent in any order')
def record_prompts(context):
    prompt = strategies.lists(strategies.integers(0, 9), min_size=1, max_size=4, unique=True)

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(prompt, max_size=30))
    def run(prompts):
        cache = PrefixCache(60)
        kept: list[int] = []
        for identifiers in prompts:
            parts = [PromptPart(identifier, 10) for identifier in identifiers]
            expected = len(list(itertools.takewhile(lambda part: part in kept, identifiers)))
            assert cache.count_cached(parts) == 10 * expected
            cache.record(parts)
            kept = [part for part in kept if part not in identifiers] + identifiers[::-1]
            kept = kept[-6:]

    run()


def _view_engine(number, pending, cached=0):
    return EngineView(
        number=number,
        pending_tokens=pending,
        running=1,
        slots=64,
        cached_tokens=cached,
        tokens_per_second=_TOKENS_PER_SECOND,
    )


@when("prompts of one session are placed while its engine's queue grows")
def place_session(context):
    parts = [PromptPart(1, 2000), PromptPart(2, 4000), PromptPart(3, 1000)]
    home_order = [
        view.number for view in order_homes([_view_engine(at, 0) for at in (10, 11, 12)], parts)
    ]
    context.pending_by_home_rank = {}
    for home_rank, caching_engine in enumerate(home_order):
        context.pending_by_home_rank[home_rank] = kept_pending = []
        for pending in range(0, 60000, 2000):
            views = [_view_engine(at, 0) for at in home_order if at != caching_engine]
            views.append(_view_engine(caching_engine, pending, cached=6000))
            if choose_engine(views, parts, 7000).number == caching_engine:
                kept_pending.append(pending)


@then('they stay at its engine until another one saves more time than reading them again takes')
def check_session(context):
    for kept_pending in context.pending_by_home_rank.values():
        assert kept_pending == list(range(0, max(kept_pending) + 1, 2000)), (
            context.pending_by_home_rank
        )
    # Another engine has to read 6,000 tokens again, which adds five times their reading time to
    # its cost: once for the time and four times as a penalty.
    assert 24000 <= max(context.pending_by_home_rank[0]) <= 36000, context.pending_by_home_rank
    # Prompts leave an engine lower in the home order earlier, but not before that saves the time
    # of reading 6,000 tokens.
    assert all(
        max(kept_pending) >= 6000 for kept_pending in context.pending_by_home_rank.values()
    ), context.pending_by_home_rank


@when('prompts of one session meet a full engine that caches them and an idle one')
def place_beside_full_engine(context):
    parts = [PromptPart(1, 2000), PromptPart(2, 8000), PromptPart(3, 1000)]
    views = [_view_engine(10, 30000, cached=10000), _view_engine(11, 0)]

    def fits(placement):
        return placement.wait_seconds <= 0.3

    context.chosen = {
        may_spill_over: choose_acceptable_engine(
            views, parts, 11000, fits, may_spill_over=may_spill_over
        )
        for may_spill_over in (True, False)
    }


@then('an account within its share gets the idle one, and one over its share waits')
def check_spill_over(context):
    assert context.chosen[True].number == 11, context.chosen
    assert context.chosen[False] is None, context.chosen


@when(
    'the engine that caches the prompts of {count:d} sessions is full'
    ' and the others are hardly busy'
)
def place_with_full_engine(context, count):
    rng = random.Random(7)
    context.engines_by_session = []
    for session in range(count):
        parts = [PromptPart(1, 2000), PromptPart(100 + session, 4000), PromptPart(3, 1000)]
        chosen_engines = set()
        for _ in range(20):
            # Predicted waits are up to 50 ms at the others and 0.6 s at the full engine.
            views = [_view_engine(number, rng.randrange(4000)) for number in range(11, 16)]
            placement = choose_engine([_view_engine(10, 48000, cached=6000), *views], parts, 7000)
            chosen_engines.add(placement.number)
        context.engines_by_session.append(chosen_engines)


@then(
    'the prompts of each session go to one other engine, and sessions are spread over all engines'
)
def check_other_engines(context):
    assert all(len(chosen_engines) == 1 for chosen_engines in context.engines_by_session), (
        context.engines_by_session
    )
    assert set().union(*context.engines_by_session) == set(range(11, 16)), (
        context.engines_by_session
    )


@when('a prompt that takes longer than its target meets an idle and a busy engine')
def place_long_prompt(context):
    parts = [PromptPart(1, 60000)]
    context.placed = [
        is_worth_placing(
            choose_engine([_view_engine(10, pending)], parts, 60000),
            elapsed_seconds=0.0,
            target_seconds=0.4,
            wait_fraction=0.7,
        )
        for pending in (0, 20000)
    ]


@then('the idle one takes it and the busy one does not')
def check_long_prompt(context):
    assert context.placed == [True, False], context.placed


@when('prompts of any length meet engines with any load')
def compare_quick_check(context):
    engine = strategies.tuples(
        strategies.integers(0, 60000), strategies.integers(0, 9), strategies.integers(0, 9000)
    )

    @_PROPERTY_SETTINGS
    @generate(
        strategies.lists(engine, min_size=1, max_size=5),
        strategies.integers(1, 60000),
        strategies.floats(0, 0.5),
        strategies.floats(0.05, 1),
        strategies.floats(0, 1),
        strategies.booleans(),
        strategies.floats(0, 1),
    )
    def run(engines, prompt_tokens, elapsed, target, wait_fraction, is_late, slot_seconds):
        views = [
            EngineView(
                number=number,
                pending_tokens=pending,
                running=running,
                slots=4,
                cached_tokens=cached,
                tokens_per_second=_TOKENS_PER_SECOND,
                slot_seconds=slot_seconds,
            )
            for number, (pending, running, cached) in enumerate(engines)
        ]
        terms = {
            'elapsed_seconds': elapsed,
            'target_seconds': target,
            'wait_fraction': wait_fraction,
            'is_late': is_late,
        }
        placement = choose_engine(views, (), prompt_tokens)
        if placement is None or not is_worth_placing(placement, **terms):
            return
        assert may_be_placed(find_least_wait(views), **terms)

    run()


@then('the quick check passes each prompt that the full choice places')
def quick_check_checked(context):
    """The When step checks each generated case."""
