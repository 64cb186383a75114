"""Steps for messages between instances as a later build may send them."""

from contextlib import ExitStack
from unittest.mock import patch

import msgspec
import orjson
import trio
from behave import then, when

from features.steps.entry_steps import _run_on_fleet
from fireflymux.entry import peer_link, peer_notices, report_datagrams, snapshot_client

_ENCODERS = (
    (peer_link, 'encode_report'),
    (peer_link, 'encode_datagram'),
    (report_datagrams, 'encode_datagram'),
    (peer_notices, 'encode_notice'),
)


def _add_field(encode):
    """Returns an encoder that adds a field at the end."""
    return lambda message: msgspec.msgpack.encode(
        [*msgspec.msgpack.decode(encode(message)), {'further': [1]}]
    )


def _add_member(request_snapshot):
    async def request(state, host):
        content = orjson.loads(await request_snapshot(state, host))
        return orjson.dumps(content | {'further': [1]})

    return request


@when(
    'all that instances send each other has a further field, failure domain "b" is evacuated,'
    ' and a third one starts'
)
def send_further_fields(context):
    async def act(fleet):
        fleet.evacuate('b')
        await fleet.add_instance(context.unavailable_store)
        await trio.sleep(2.0)
        return [
            (
                instance._peers.count_heard(),
                instance._state.is_ready,
                instance._state.candidates.evacuations.newest.domains,
            )
            for instance in fleet.instances
        ]

    with ExitStack() as patches:
        for module, name in _ENCODERS:
            encoder = _add_field(getattr(module, name))
            patches.enter_context(patch.object(module, name, encoder))
        request = _add_member(snapshot_client._request_snapshot)
        patches.enter_context(patch.object(snapshot_client, '_request_snapshot', request))
        _run_on_fleet(context, act)


@then('all three are ready, hear each other and know of the evacuation')
def check_further_fields(context):
    assert context.result == 3 * [(2, True, frozenset('b'))], context.result
