"""Steps for the age of what an instance knows, and for calls that have to be repeated."""

import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.entry_fleet import configuration, open_fleet, route
from fireflymux.decisions.store_clock import StoreClock
from fireflymux.decisions.store_version import StoreVersion
from fireflymux.platform.pending_polls import PendingPoll

_CHECK_SECONDS = 0.01
#: Time by which a change is later than it was noted, and a sample later than its time.
_TOLERANCE_SECONDS = 0.01


@given('a store whose answers are {seconds:f} seconds on their way')
def set_way(context, seconds):
    context.way_seconds = seconds


async def _change_often(store, changed_at, *, every_seconds, for_seconds):
    """Writes a configuration again and again, and notes when each version was written."""
    ends_at = trio.current_time() + for_seconds
    version = 10
    while trio.current_time() < ends_at:
        version += 1
        changed_at[version] = trio.current_time()
        store.put('op', 'config', configuration(version, [route('/', 'safe', 'pool')]))
        await trio.sleep(every_seconds)


def _find_understatement(state, changed_at):
    """Returns by how much the stated age is smaller than that of the oldest unknown change."""
    now = trio.current_time()
    stated = state.table_ages.find_stated_age(now)
    unknown = [at for version, at in changed_at.items() if version > state.configuration_version]
    if stated is None or not unknown:
        return 0.0
    return now - min(unknown) - stated


@when('it changes every {every_seconds:f} seconds, for {for_seconds:d} seconds')
def change_often(context, every_seconds, for_seconds):
    async def run():
        understated = []
        async with open_fleet() as fleet:
            address = await fleet.start_store()
            await fleet.add_backend('e0', 'pool')
            fleet.store.put('op', 'config', configuration(5, [route('/', 'safe', 'pool')]))
            instance = await fleet.add_instance(address)
            await fleet.wait_ready()
            fleet.store.answer_seconds = context.way_seconds
            await trio.sleep(1)
            changed_at = {}
            async with trio.open_nursery() as nursery:

                async def sample():
                    while True:
                        understated.append(_find_understatement(instance._state, changed_at))
                        await trio.sleep(_CHECK_SECONDS)

                nursery.start_soon(sample)
                await _change_often(
                    fleet.store, changed_at, every_seconds=every_seconds, for_seconds=for_seconds
                )
                nursery.cancel_scope.cancel()
        return understated

    context.understated = trio.run(run)


@then('the age that an instance states is never smaller than that of the oldest change it lacks')
def check_understatement(context):
    wrong = [seconds for seconds in context.understated if seconds > _TOLERANCE_SECONDS]
    assert not wrong, (len(wrong), len(context.understated), max(wrong))


@given('a call for changes that others show to have missed one')
def set_missed(context):
    context.relies_on_store = False
    context.poll = PendingPoll(StoreVersion(0, 5), 0.0, lambda: context.relies_on_store)
    context.poll.must_repeat.set()


@when(
    'its instance relies on other instances for {seconds:f} seconds, and then on the store again'
)
def rely_again(context, seconds):
    async def run():
        context.is_repeated = False
        async with trio.open_nursery() as nursery:

            async def wait():
                await context.poll.wait_for_repeat()
                context.is_repeated = True

            nursery.start_soon(wait)
            await trio.sleep(seconds)
            assert not context.is_repeated
            context.relies_on_store = True
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then('the call is repeated within 0.1 seconds of that')
def check_repeated(context):
    assert context.is_repeated


@when(
    'responses take any time, and the clocks of the store and of its clients differ and drift apart'
)
def generate_responses(context):
    seconds = strategies.floats(0, 5)

    @hypothesis_settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @generate(
        strategies.floats(-1e6, 1e6),
        strategies.floats(-0.0002, 0.0002),
        strategies.lists(strategies.tuples(seconds, seconds, seconds), min_size=1, max_size=40),
    )
    def run(difference, drift, calls):
        clock = StoreClock()
        now = 0.0
        for before, there, back in calls:
            sent_at = now + 100 * before
            made_at = sent_at + there
            now = made_at + back
            stated = int((difference + made_at * (1 + drift)) * 1000) / 1000
            taken = clock.find_time(stated, sent_at=sent_at, received_at=now)
            assert sent_at <= taken <= made_at + 0.002, (taken, made_at)

    run()


@then('the time that a response is taken to be of is never after the one at which it was made')
def check_responses(context):
    """The When step asserts it for each generated case."""
