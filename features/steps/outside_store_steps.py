"""Steps for replies and rows of the store of another shape."""

from collections import defaultdict

import trio
from behave import then, when

from emulator.entry_fleet import route
from features.steps.entry_steps import _put_configuration, _run_on_fleet
from features.steps.outside_values_steps import _LEARNED, _describe, _expand


@when('the store answers oddly for a while, in turn with')
def answer_oddly(context):
    replies = defaultdict(list)
    for row in context.table:
        replies[row['operation'].encode()].append(_expand(row['reply']).encode())

    def change(operation, fields, content):
        odd = replies[operation]
        return fields, odd.pop(0) if odd else content

    _change_replies(context, change, list_left=lambda: any(replies.values()))


@when('each reply of the store has these rows before the others')
def add_odd_rows(context):
    odd = _expand(','.join(row['row'] for row in context.table)).encode()

    def change(operation, fields, content):
        changed = content.replace(b'"rows":[', b'"rows":[%b,' % odd, 1)
        return fields, changed.replace(b',]', b']')

    _change_replies(context, change)


@when('the store states for a while the eras')
def state_odd_eras(context):
    eras = [_expand(row['era']).encode() for row in context.table]
    # Each era is stated to both instances, with full tables and with changes.
    stated = [era for era in eras for _ in range(6)]

    def change(operation, fields, content):
        return [(b'Store-Era', stated.pop(0))] if stated else fields, content

    _change_replies(context, change, list_left=lambda: stated)


def _change_replies(context, change, *, list_left=list):
    """Changes the store's replies to two instances, then adds an endpoint and a configuration.

    The rest of `list_left` tells that there are changed replies to come.
    """

    async def act(fleet):
        fleet.store.respond = _respond_changed(fleet.store.respond, change)
        fleet.store.forget_history()
        await trio.sleep(0.3)
        await fleet.add_instance(fleet.settings[0].store_address)
        with trio.move_on_after(8):
            while list_left():
                # A change that concerns no instance, so that followers get a reply.
                fleet.store.put('op', 'note', {})
                await trio.sleep(0.1)
        await fleet.add_backend('later', 'pool')
        _put_configuration(fleet, 6, [route('/', 'safe', 'pool')])
        learned = []
        with trio.move_on_after(5):
            while learned != [_LEARNED, _LEARNED]:
                await trio.sleep(0.1)
                learned = [_describe(instance) for instance in fleet.instances]
        assert not list_left(), list_left()
        return learned

    _run_on_fleet(context, act)


def _respond_changed(respond, change):
    """Returns a responder of the store whose answers are those that `change` returns."""

    async def respond_changed(request, writer, outage):
        async def answer(status, fields, content):
            operation = request.path.rpartition(b'/')[2]
            # Only status 200 has a body that is read.
            changed = change(operation, fields, content) if status == 200 else (fields, content)
            await answer_plainly(status, *changed)

        answer_plainly, writer.answer = writer.answer, answer
        try:
            await respond(request, writer, outage)
        finally:
            writer.answer = answer_plainly

    return respond_changed


@then('the instances go on, and learn of a new endpoint and a new version')
def check_learns(context):
    assert context.result == [_LEARNED, _LEARNED], context.result


@when('the store lists no instance for a second')
def list_no_instance(context):
    async def act(fleet):
        puts = []

        def put(table, key, content):
            if table == 'fireflymux-instances':
                puts.append(key)
                return
            put_plainly(table, key, content)

        put_plainly, fleet.store.put = fleet.store.put, put
        fleet.store._tables.pop('fireflymux-instances', None)
        await fleet.add_instance(fleet.settings[0].store_address)
        await trio.sleep(1)
        return puts

    _run_on_fleet(context, act)


@then('the instance has written its row at most {count:d} times')
def check_written(context, count):
    assert 1 <= len(context.result) <= count, len(context.result)


@when('the store answers each question for changes with status 410 for a second')
def forget_always(context):
    async def act(fleet):
        fleet.store._can_follow_from = lambda version: False
        fleet.store.forget_history()
        calls = fleet.store.calls
        await trio.sleep(0.5)
        await fleet.add_backend('later', 'pool')
        await trio.sleep(0.5)
        return fleet.store.calls - calls, _describe(fleet.instances[0])

    _run_on_fleet(context, act)


@then(
    'the instance has asked at most {count:d} times,'
    ' and knows the endpoints that were added meanwhile'
)
def check_asked(context, count):
    asked, known = context.result
    assert asked <= count, asked
    assert known == (5, {'e0', 'e1', 'later'}, 0), known


@when('another writer leaves odd rows in the table of instances')
def leave_odd_instances(context):
    async def act(fleet):
        for number, host in enumerate(('', 'host.example', 'a' * 99, '1.2.3', '{}', '\0', '::1')):
            fleet.store.put('fireflymux-instances', 'odd-{0}'.format(number), host.encode())
        fleet.store.put('fireflymux-instances', 'odd', b'\xff\xfe')
        await fleet.add_instance(fleet.settings[0].store_address)
        await trio.sleep(0.5)
        return [
            (sorted(instance._state.instances), instance._peers.count_heard())
            for instance in fleet.instances
        ]

    _run_on_fleet(context, act)


@then('an instance that starts knows only the other instance, and both hear each other')
def check_known_instances(context):
    assert context.result == [(['entry-2'], 1), (['entry-1'], 1)], context.result
