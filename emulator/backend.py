"""Emulates an endpoint behind the entry role whose behaviour a test chooses by name.

The behaviours include malformed responses, responses without an end, and connections that break.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import trio

from fireflymux.http.messages import HeaderFields, Request, find_header
from fireflymux.http.response_writer import ResponseWriter

from .raw_response import end_at_close, send_extra_answer, send_raw

_EVENT_INTERVAL_SECONDS = 0.02
#: Pause before each event of a stream that is slow but not stalled: longer than the target latency
#: of the routes, shorter than the deadline of the callers.
_LONG_PAUSE_SECONDS = 1.2
#: Id of an event that has more digits than Python converts to a number.
LONG_EVENT_ID = b'9' * 5000
_LARGE_BYTES = 4194304
_MISDIRECTED_BEHAVIOURS = ('misdirected', 'misdirected and leaving')


class Backend:
    """One emulated endpoint, which records the requests that it receives.

    Attributes:
        name: Identifier of the endpoint.
        behaviour: How it handles requests: a key of `_BEHAVIOURS`, `full`, or one of
            `_MISDIRECTED_BEHAVIOURS`.
        requests: Requests that it ran.
        left: Identifiers of the attempts whose connection ended before the answer was complete.
        retry_after: Value of `Retry-After` in its answers while it is full; empty for none.
        turned_away: Number of requests that it rejected without running them.
        extra_fields: Header fields that it adds to the answers to the requests that it runs.
    """

    def __init__(self, name: str, behaviour: str = 'answer') -> None:
        self.name = name
        self.behaviour = behaviour
        self.retry_after = ''
        self.turned_away = 0
        self.extra_fields: HeaderFields = []
        self.requests: list[Request] = []
        self.left: list[bytes] = []

    async def respond(self, request: Request, writer: ResponseWriter) -> None:
        """Handles one request.

        Rejects it if it is meant for another instance or if the behaviour says so.
        """
        attempt = find_header(request.fields, b'x-attempt-id')
        expected = find_header(request.fields, b'x-expect-instance')
        if expected != self.name.encode() or self.behaviour in _MISDIRECTED_BEHAVIOURS:
            self.turned_away += 1
            fields = [(b'X-Attempt-Id', attempt)]
            if self.behaviour == 'misdirected and leaving':
                fields.append((b'Server-Leaving', b'1'))
            await writer.answer(421, fields, b'')
            return
        if self.behaviour == 'full':
            self.turned_away += 1
            fields = [(b'X-Attempt-Id', attempt), (b'X-Not-Executed', b'1')]
            if self.retry_after:
                fields.append((b'Retry-After', self.retry_after.encode()))
            await writer.answer(503, fields, b'')
            return
        self.requests.append(request)
        fields = [(b'X-Attempt-Id', attempt), (b'X-Server-Signature', self.name.encode())]
        fields.extend(self.extra_fields)
        try:
            await _BEHAVIOURS[self.behaviour](request, writer, fields)
        except BaseException:
            self.left.append(attempt)
            raise


def _response_body(fields: HeaderFields) -> bytes:
    """Returns a body with the name of the endpoint, which is the second field's value."""
    return b'answer of ' + fields[1][1]


async def _answer(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields, _response_body(fields))


async def _answer_and_leave(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.answer(200, [*fields, (b'Server-Leaving', b'1')], _response_body(fields))


async def _answer_and_warm_up(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.answer(200, [*fields, (b'X-Warmup-Ms', b'30000')], _response_body(fields))


async def _fail(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(500, fields, b'failed')


async def _fail_as_not_found(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.answer(404, fields, b'not found')


def _answer_with(
    status: int, more: HeaderFields, content: bytes
) -> Callable[[Request, ResponseWriter, HeaderFields], Any]:
    """Returns a behaviour that answers with a status, further header fields and a body."""

    async def behave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
        await writer.answer(status, [*fields, *more], content)

    return behave


async def _stream_with_late_answer(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Writes an answer of another request where the third event of its stream is due."""
    await writer.start(200, fields, b'')
    for event in _remaining_events(request, 2):
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)
    unrelated = [(b'X-Attempt-Id', b'of-another'), (b'X-Server-Signature', b'x')]
    await send_extra_answer(writer, 200, unrelated, b'late')
    await trio.sleep_forever()


async def _stream_endlessly(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.start(200, fields, b'')
    number = 0
    while True:
        number += 1
        await writer.send_chunk(b'id: %d\ndata: piece\n\n' % number)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)


async def _answer_in_two_codings(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Closes the connection within a chunk of a body that states two transfer codings."""
    codings = b'Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n'
    await send_raw(writer, _encode_head(fields, codings) + b'10\r\nonly a part')
    writer.abort()


async def _stream_without_ids(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Streams an explanation in place of the events that were asked for."""
    await writer.start(200, fields, b'data: no such stream\n\n')
    await writer.end()


async def _abort(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    writer.abort()


async def _hang(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await trio.sleep_forever()


async def _answer_slowly(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await trio.sleep(1.5)
    await writer.answer(200, fields, _response_body(fields))


async def _answer_unsigned(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields[:1], b'not signed')


async def _answer_truncated(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Closes the connection before the stated length is reached."""
    await send_raw(writer, b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n')
    lines = b''.join(b'%b: %b\r\n' % field for field in fields)
    await send_raw(writer, lines + b'\r\nonly a part')
    writer.abort()


async def _answer_without_length(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Ends the body by closing the connection."""
    await send_raw(writer, _encode_head(fields, b'\r\n') + _response_body(fields))
    end_at_close(writer)


async def _answer_after_unrelated_response(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Sends a response with the identifier of another attempt before its own."""
    unrelated = [(b'X-Attempt-Id', b'of-another'), (b'X-Server-Signature', b'x')]
    await send_extra_answer(writer, 200, unrelated, b'answer of another request')
    await writer.answer(200, fields, _response_body(fields))


async def _answer_twice(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields, _response_body(fields))
    await send_extra_answer(writer, 200, fields, b'the second answer')


def _remaining_events(request: Request, count: int) -> list[bytes]:
    """Returns the events after the one that Last-Event-Id names, out of a number of events."""
    last_event_id = find_header(request.fields, b'last-event-id')
    first = int(last_event_id) + 1 if last_event_id else 0
    return [b'id: %d\ndata: piece %d\n\n' % (index, index) for index in range(first, count)]


async def _stream(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.start(200, fields, b'')
    for event in _remaining_events(request, 6):
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)
    await writer.end()


async def _stream_with_long_id(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.start(200, fields, b'')
    await writer.send_chunk(b'id: %b\ndata: odd\n\n' % LONG_EVENT_ID)
    for event in _remaining_events(request, 6):
        await writer.send_chunk(event)
    await writer.end()


async def _stream_then_abort(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Breaks the stream off within its third event."""
    await writer.start(200, fields, b'')
    events = _remaining_events(request, 6)
    for event in events[:2]:
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)
    await writer.send_chunk(events[2][:8])
    writer.abort()


def _without_id(
    status: int, *, signed: bool, is_refusal: bool = False
) -> Callable[[Request, ResponseWriter, HeaderFields], Any]:
    """Returns a behaviour that answers without the identifier of the attempt."""

    async def behave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
        kept = fields[1:] if signed else []
        refusal = [(b'X-Not-Executed', b'1')] if is_refusal else []
        await writer.answer(status, [*kept, *refusal], _response_body(fields))

    return behave


def _cut_behind(
    *events: bytes,
) -> Callable[[Request, ResponseWriter, HeaderFields], Any]:
    """Returns a behaviour that streams some events and breaks off."""

    async def behave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
        await writer.start(200, fields, b'')
        for event in events:
            await writer.send_chunk(event)
            await trio.sleep(_EVENT_INTERVAL_SECONDS)
        writer.abort()

    return behave


async def _stream_slowly(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.start(200, fields, b'')
    for event in _remaining_events(request, 1000):
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)


async def _stream_unfinished_event(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Sends two events, then comments and one event that never ends, byte by byte."""
    await writer.start(200, fields, b'')
    for event in _remaining_events(request, 2):
        await writer.send_chunk(event)
    await writer.send_chunk(b': still here\n\n: and here\n\ndata: ')
    while True:
        await trio.sleep(0.1)
        await writer.send_chunk(b'x')


async def _stream_with_pauses(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.start(200, fields, b'')
    for event in _remaining_events(request, 6):
        await trio.sleep(_LONG_PAUSE_SECONDS)
        await writer.send_chunk(event)
    await writer.end()


def _endless(
    encode_start: Callable[[HeaderFields], bytes], block: bytes
) -> Callable[[Request, ResponseWriter, HeaderFields], Any]:
    """Returns a behaviour that never ends its response.

    Args:
        encode_start: Returns the first bytes, given the fields of the response.
        block: Bytes that are then sent repeatedly until the connection is closed.
    """

    async def behave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
        await send_raw(writer, encode_start(fields))
        while True:
            await send_raw(writer, block)

    return behave


def _encode_head(fields: HeaderFields, extra: bytes) -> bytes:
    """Encodes the status line and fields, followed by more fields or the end of the head."""
    lines = b''.join(b'%b: %b\r\n' % field for field in fields)
    return b'HTTP/1.1 200 OK\r\n' + lines + extra


def _encode_response(fields: HeaderFields) -> bytes:
    content = _response_body(fields)
    return _encode_head(fields, b'Content-Length: %d\r\n\r\n' % len(content)) + content


_BLOCK = b'x' * 8192
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_UNRELATED_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 8192\r\n\r\n' + _BLOCK
)


async def _answer_then_send_endlessly(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    """Sends bytes without end on the connection once the client keeps it as idle."""
    await writer.answer(200, fields, _response_body(fields))
    await trio.sleep(0.1)
    while True:
        await send_raw(writer, _BLOCK)


_ENDLESS_BEHAVIOURS = MappingProxyType(
    {
        'noise without end': _endless(lambda _: b'', _BLOCK),
        'a field without end': _endless(lambda fields: _encode_head(fields, b'X-Long: '), _BLOCK),
        'fields without end': _endless(
            lambda fields: _encode_head(fields, b''), b'X-A: b\r\n' * 999
        ),
        'interim answers without end': _endless(
            lambda _: b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 400
        ),
        'answers to others without end': _endless(lambda _: b'', _UNRELATED_RESPONSE),
        'a body without end': _endless(lambda fields: _encode_head(fields, b'\r\n'), _BLOCK),
        'chunks without end': _endless(
            lambda fields: _encode_head(fields, _CHUNKED), b'2000\r\n' + _BLOCK + b'\r\n'
        ),
        'a chunk size without end': _endless(
            lambda fields: _encode_head(fields, _CHUNKED), b'0' * 8192
        ),
        'a chunk extension without end': _endless(
            lambda fields: _encode_head(fields, _CHUNKED + b'1;'), _BLOCK
        ),
        'trailers without end': _endless(
            lambda fields: _encode_head(fields, _CHUNKED + b'1\r\nx\r\n0\r\n'), b'X-A: b\r\n' * 999
        ),
        'a length beyond all bounds': _endless(
            lambda fields: _encode_head(fields, b'Content-Length: 99999999999\r\n\r\n'), _BLOCK
        ),
        'an answer and then bytes without end': _endless(_encode_response, _BLOCK),
        'an answer, a pause and bytes without end': _answer_then_send_endlessly,
        'an event without end': _endless(
            lambda fields: _encode_head(fields, b'\r\nid: 0\ndata: piece 0\n\ndata: '), _BLOCK
        ),
    }
)


_BEHAVIOURS: Mapping[str, Callable[[Request, ResponseWriter, HeaderFields], Any]] = (
    MappingProxyType(
        {
            'answer': _answer,
            'answer and leave': _answer_and_leave,
            'answer with 4 MB': _answer_with(200, [], b'x' * _LARGE_BYTES),
            'answer and warm up': _answer_and_warm_up,
            'fail': _fail,
            'not found': _fail_as_not_found,
            'break off': _abort,
            'hang': _hang,
            'answer slowly': _answer_slowly,
            'answer unsigned': _answer_unsigned,
            'answer short': _answer_truncated,
            'answer without length': _answer_without_length,
            'answer after a stray one': _answer_after_unrelated_response,
            'answer twice': _answer_twice,
            'stream': _stream,
            'stream endlessly': _stream_endlessly,
            'stream with a long id': _stream_with_long_id,
            'events without ids': _stream_without_ids,
            'events of another type': _answer_with(
                200, [(b'Content-Type', b'text/plain')], b'id: 2\ndata: no such stream\n\n'
            ),
            'no content': _answer_with(204, [], b''),
            'accepted': _answer_with(202, [], b''),
            'an empty body': _answer_with(200, [], b''),
            'only comments': _answer_with(200, [], b': nothing\n\n'),
            'only old events': _answer_with(200, [], b'id: 1\ndata: piece 1\n\n'),
            'stream and late answer': _stream_with_late_answer,
            'answer in two codings': _answer_in_two_codings,
            'stream and cut': _stream_then_abort,
            'events without ids and cut': _cut_behind(b'data: piece 0\n\n', b'data: piece 1\n\n'),
            'an event without an id and cut': _cut_behind(
                b'id: 0\ndata: piece 0\n\n', b'data: piece 1\n\n'
            ),
            'an event with an odd id and cut': _cut_behind(
                b'id: 0\ndata: piece 0\n\n', b'id: x1\ndata: piece 1\n\n'
            ),
            'answer without an id': _without_id(200, signed=True),
            'fail without an id': _without_id(500, signed=True),
            'fail unsigned without an id': _without_id(500, signed=False),
            'refuse without an id': _without_id(503, signed=False, is_refusal=True),
            'run and answer 408': _answer_with(408, [], b'odd'),
            'run and answer 429': _answer_with(429, [], b'odd'),
            'run and answer 503': _answer_with(503, [], b'odd'),
            'an odd status': _answer_with(999, [], b'odd'),
            'an encoded body': _answer_with(200, [(b'Content-Encoding', b'gzip')], b'odd'),
            'only comments and cut': _cut_behind(b': nothing\n\n'),
            'stream slowly': _stream_slowly,
            'stream and trickle': _stream_unfinished_event,
            'stream with pauses': _stream_with_pauses,
            **_ENDLESS_BEHAVIOURS,
        }
    )
)
