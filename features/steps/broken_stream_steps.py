"""Steps for streams that break off, read by a caller that parses every byte strictly."""

import re

import attrs
import trio
from behave import given, then, when

from emulator.backend import LONG_EVENT_ID
from emulator.caller_exchange import encode_call
from emulator.entry_fleet import route
from features.steps.entry_steps import _put_configuration, _run_on_fleet, _set_up_one_route

_READ_SECONDS = 3
_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
#: Retries allowed beside the share of the requests, so that none is withheld here.
_RETRY_CONSTANT = 100.0


@attrs.define
class ParsedStream:
    """What the bytes on a connection are, if they are one chunked response or a part of it.

    Attributes:
        head: Status line and header fields.
        content: Contents of the complete chunks.
        has_end: Whether the last chunk was received.
    """

    head: bytes
    content: bytes = b''
    has_end: bool = False


def parse_stream(raw):
    """Parses the bytes of one chunked response; raises for any byte that is none of it."""
    head, _, rest = raw.partition(_HEAD_END)
    assert head.startswith(b'HTTP/1.1 200 '), raw
    stream = ParsedStream(head)
    while rest:
        size_line, line_end, rest = rest.partition(_LINE_END)
        assert line_end and not set(size_line) - set(b'0123456789abcdef'), raw
        size = int(size_line, 16)
        chunk, rest = rest[:size], rest[size:]
        assert len(chunk) == size and rest.startswith(_LINE_END), raw
        rest = rest[len(_LINE_END) :]
        stream.content += chunk
        if not size:
            stream.has_end = True
            assert not rest, raw
    return stream


async def read_to_close(address, raw):
    """Sends bytes on a new connection and returns all that is received until it closes."""
    host, _, port = address.rpartition(':')
    received = b''
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(raw)
        with trio.move_on_after(_READ_SECONDS):
            while part := await stream.receive_some():
                received += part
    return received


def _set_up_resumable_route(context, behaviours, attempts=2, first='stream and cut'):
    """Sets up an endpoint that breaks off and is tried first, and others behind it."""

    async def build(fleet):
        await fleet.add_backend('cut', 'pool', first, zone='a')
        for number, behaviour in enumerate(behaviours):
            # Instances prefer endpoints of their own failure domain, `a`, and then lower numbers.
            await fleet.add_backend('e{0}'.format(number), 'pool', behaviour, zone='b')
        changes = {'stream_resume': True, 'max_attempts': attempts}
        _put_configuration(fleet, 5, [route('/', 'streaming', 'pool', **changes)])
        await fleet.add_instance(await fleet.start_store(), retry_constant=_RETRY_CONSTANT)
        await fleet.wait_ready()

    context.build = build


@given(
    'a resumable stream route with one endpoint that breaks off and one of behaviour "{behaviour}"'
)
def breaking_and_other(context, behaviour):
    _set_up_resumable_route(context, [behaviour])


@given(
    'a resumable stream route with one endpoint of behaviour "{first}"'
    ' and one of behaviour "{second}"'
)
def first_and_second(context, first, second):
    _set_up_resumable_route(context, [second], first=first)


@given('a resumable stream route with only one endpoint, of behaviour "{behaviour}"')
def only_one(context, behaviour):
    _set_up_one_route(context, 'streaming', [behaviour], stream_resume=True)


@given(
    'a resumable stream route with endpoints that break off, {first} and {second},'
    ' of which {count:d} may be tried'
)
def breaking_and_others(context, first, second, count):
    _set_up_resumable_route(context, [first, second], count)


@when('a caller reads a stream byte by byte')
def read_stream(context):
    async def act(fleet):
        raw = encode_call('/a', more='Connection: close')
        return await read_to_close(fleet.settings[0].caller_address, raw)

    _run_on_fleet(context, act)


@when('a caller reads a stream that breaks off first, byte by byte')
def read_broken_stream(context):
    async def act(fleet):
        raw = encode_call('/a', more='Connection: close')
        received = await read_to_close(fleet.settings[0].caller_address, raw)
        assert fleet.backends['cut'].requests, 'the endpoint that breaks off was not tried'
        return received

    _run_on_fleet(context, act)


@then('its bytes are one head, {count:d} events and an event with a long id, with an end')
def check_long_id(context, count):
    stream = parse_stream(context.result)
    assert stream.content.count(b'data: piece') == count, context.result
    assert LONG_EVENT_ID in stream.content and stream.has_end, context.result


@then('its bytes are one head and {count:d} events, {without} an end')
def check_stream(context, count, without):
    stream = parse_stream(context.result)
    events = [b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(count)]
    # Comments are no events; clients do not see them.
    content = stream.content.replace(b': nothing\n\n', b'')
    assert content == b''.join(events), context.result
    assert stream.has_end == (without == 'with'), context.result


@then('its bytes are one head and {count:d} events of the first endpoint, without an end')
def check_first_events(context, count):
    stream = parse_stream(context.result)
    pieces = re.findall(b'data: (piece [0-9])\n\n', stream.content)
    assert pieces == [b'piece %d' % number for number in range(count)], context.result
    assert not stream.has_end, context.result


@then('the second endpoint ran {count:d} requests')
def check_second_endpoint(context, count):
    assert len(context.entry_fleet.backends['e0'].requests) == count
