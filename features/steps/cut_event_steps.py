"""Steps for a stream through a router that breaks off within an event."""

from types import SimpleNamespace

import trio
from behave import given, then, when

from fireflymux.router.router_app import _stream_response
from fireflymux.router.run_client import StreamedResponse

_FIRST_EVENT = b'data: {"token": "a"}\n\n'


class _CutStreams:
    """Stands in for the client of sidecars; each stream breaks off within its second event."""

    async def read_stream(self, stream):
        for chunk in (_FIRST_EVENT, b'data: {"tok'):
            stream.last_bytes = chunk[-14:]
            yield chunk


def _ignore(*_arguments):
    """Does nothing."""


@given('a router whose stream breaks off within its second event')
def cutting_router(context):
    context.router = SimpleNamespace(
        active_requests=0,
        run_client=_CutStreams(),
        dispatcher=SimpleNamespace(record_stream_crash=_ignore),
        placer=SimpleNamespace(release_concurrency=_ignore),
        metrics=SimpleNamespace(requests=SimpleNamespace(inc=_ignore)),
    )


@when('its caller reads the stream to its end')
def read_cut_stream(context):
    async def read():
        stream = StreamedResponse(200, 'text/event-stream', None, None, None)
        caller_request = SimpleNamespace(account='a', pool='p')
        span = SimpleNamespace(end=_ignore)
        chunks = _stream_response(context.router, caller_request, stream, span)
        context.received = b''.join([chunk async for chunk in chunks])

    trio.run(read)


@then('it gets the first event and then an error event, and nothing between them')
def check_error_event(context):
    error_event = context.received.removeprefix(_FIRST_EVENT)
    assert error_event.startswith(b'event: error\ndata: {'), context.received
    assert error_event.endswith(b'}\n\n') and error_event.count(b'\n\n') == 1, context.received
