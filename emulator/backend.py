"""Stand-in of an endpoint that the entry role calls: answers as a script tells it to."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import trio

from fireflymux.http.response_writer import ResponseWriter
from fireflymux.http.messages import HeaderFields, Request, find_header

_EVENT_SECONDS = 0.02
#: Longer than routes call on time, shorter than callers wait.
_SOUND_PAUSE_SECONDS = 1.2
_MISDIRECTED = ('misdirected', 'misdirected and leaving')


class Backend:
    """One endpoint that records what reaches it.

    Attributes:
        name: Its identifier.
        behaviour: What it does with a request: a key of `_BEHAVIOURS`.
        requests: Requests that it ran.
        left: Attempts whose connection ended while it worked on them.
        rest: What it states in `Retry-After` when it is full.
        turned_away: Requests that it did not run.
    """

    def __init__(self, name: str, behaviour: str = 'answer') -> None:
        self.name = name
        self.behaviour = behaviour
        self.rest = ''
        self.turned_away = 0
        self.requests: list[Request] = []
        self.left: list[bytes] = []

    async def respond(self, request: Request, writer: ResponseWriter) -> None:
        """Answers one request."""
        attempt = find_header(request.fields, b'x-attempt-id')
        expected = find_header(request.fields, b'x-expect-instance')
        if expected != self.name.encode() or self.behaviour in _MISDIRECTED:
            self.turned_away += 1
            fields = [(b'X-Attempt-Id', attempt)]
            if self.behaviour == 'misdirected and leaving':
                fields.append((b'Server-Leaving', b'1'))
            await writer.answer(421, fields, b'')
            return
        if self.behaviour == 'full':
            self.turned_away += 1
            fields = [(b'X-Attempt-Id', attempt), (b'X-Not-Executed', b'1')]
            if self.rest:
                fields.append((b'Retry-After', self.rest.encode()))
            await writer.answer(503, fields, b'')
            return
        self.requests.append(request)
        fields = [(b'X-Attempt-Id', attempt), (b'X-Server-Signature', self.name.encode())]
        try:
            await _BEHAVIOURS[self.behaviour](request, writer, fields)
        except BaseException:
            self.left.append(attempt)
            raise


def _content_of(fields: HeaderFields) -> bytes:
    return b'answer of ' + fields[1][1]


async def _answer(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields, _content_of(fields))


async def _answer_and_leave(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.answer(200, [*fields, (b'Server-Leaving', b'1')], _content_of(fields))


async def _fail(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(500, fields, b'failed')


async def _break_off(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    writer.abort()


async def _hang(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await trio.sleep_forever()


async def _answer_slowly(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await trio.sleep(1.5)
    await writer.answer(200, fields, _content_of(fields))


async def _answer_unsigned(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields[:1], b'not signed')


async def _answer_short(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.send(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n')
    lines = b''.join(b'%b: %b\r\n' % field for field in fields)
    await writer.send(lines + b'\r\nonly a part')
    writer.abort()


async def _answer_without_length(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.send(_head(fields, b'\r\n') + _content_of(fields))
    writer.must_close = True


async def _answer_after_stray(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    stray = [(b'X-Attempt-Id', b'of-another'), (b'X-Server-Signature', b'x')]
    await writer.answer(200, stray, b'answer of another request')
    await writer.answer(200, fields, _content_of(fields))


async def _answer_twice(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields, _content_of(fields))
    await writer.answer(200, fields, b'the second answer')


def _events(request: Request, count: int) -> list[bytes]:
    after = find_header(request.fields, b'last-event-id')
    first = int(after) + 1 if after else 0
    return [b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(first, count)]


async def _stream(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.start(200, fields, b'')
    for event in _events(request, 6):
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_SECONDS)
    await writer.end()


async def _stream_cut(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.start(200, fields, b'')
    events = _events(request, 6)
    for event in events[:2]:
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_SECONDS)
    await writer.send_chunk(events[2][:8])
    writer.abort()


async def _stream_slowly(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.start(200, fields, b'')
    for event in _events(request, 1000):
        await writer.send_chunk(event)
        await trio.sleep(_EVENT_SECONDS)


async def _trickle(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    """Sends two events, then comments and the bytes of an event that never ends."""
    await writer.start(200, fields, b'')
    for event in _events(request, 2):
        await writer.send_chunk(event)
    await writer.send_chunk(b': still here\n\n: and here\n\ndata: ')
    while True:
        await trio.sleep(0.1)
        await writer.send_chunk(b'x')


async def _stream_with_pauses(
    request: Request, writer: ResponseWriter, fields: HeaderFields
) -> None:
    await writer.start(200, fields, b'')
    for event in _events(request, 6):
        await trio.sleep(_SOUND_PAUSE_SECONDS)
        await writer.send_chunk(event)
    await writer.end()


def _endlessly(
    begin: Callable[[HeaderFields], bytes], again: bytes
) -> Callable[[Request, ResponseWriter, HeaderFields], Any]:
    """Returns a behaviour that sends a beginning, and then the same bytes until it is closed."""

    async def behave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
        await writer.send(begin(fields))
        while True:
            await writer.send(again)

    return behave


def _head(fields: HeaderFields, more: bytes) -> bytes:
    lines = b''.join(b'%b: %b\r\n' % field for field in fields)
    return b'HTTP/1.1 200 OK\r\n' + lines + more


def _whole(fields: HeaderFields) -> bytes:
    content = _content_of(fields)
    return _head(fields, b'Content-Length: %d\r\n\r\n' % len(content)) + content


_PIECE = b'x' * 8192
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_STRAY = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 8192\r\n\r\n' + _PIECE


async def _answer_and_rave(request: Request, writer: ResponseWriter, fields: HeaderFields) -> None:
    await writer.answer(200, fields, _content_of(fields))
    # The connection is idle by then.
    await trio.sleep(0.1)
    while True:
        await writer.send(_PIECE)


_ENDLESS = MappingProxyType(
    {
        'noise without end': _endlessly(lambda _: b'', _PIECE),
        'a field without end': _endlessly(lambda fields: _head(fields, b'X-Long: '), _PIECE),
        'fields without end': _endlessly(lambda fields: _head(fields, b''), b'X-A: b\r\n' * 999),
        'interim answers without end': _endlessly(
            lambda _: b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 400
        ),
        'answers to others without end': _endlessly(lambda _: b'', _STRAY),
        'a body without end': _endlessly(lambda fields: _head(fields, b'\r\n'), _PIECE),
        'chunks without end': _endlessly(
            lambda fields: _head(fields, _CHUNKED), b'2000\r\n' + _PIECE + b'\r\n'
        ),
        'a chunk size without end': _endlessly(
            lambda fields: _head(fields, _CHUNKED), b'0' * 8192
        ),
        'a chunk extension without end': _endlessly(
            lambda fields: _head(fields, _CHUNKED + b'1;'), _PIECE
        ),
        'trailers without end': _endlessly(
            lambda fields: _head(fields, _CHUNKED + b'1\r\nx\r\n0\r\n'), b'X-A: b\r\n' * 999
        ),
        'a length beyond all bounds': _endlessly(
            lambda fields: _head(fields, b'Content-Length: 99999999999\r\n\r\n'), _PIECE
        ),
        'an answer and then bytes without end': _endlessly(_whole, _PIECE),
        'an answer, a pause and bytes without end': _answer_and_rave,
        'an event without end': _endlessly(
            lambda fields: _head(fields, b'\r\nid: 0\ndata: piece 0\n\ndata: '), _PIECE
        ),
    }
)


_BEHAVIOURS: Mapping[str, Callable[[Request, ResponseWriter, HeaderFields], Any]] = (
    MappingProxyType(
        {
            'answer': _answer,
            'answer and leave': _answer_and_leave,
            'fail': _fail,
            'break off': _break_off,
            'hang': _hang,
            'answer slowly': _answer_slowly,
            'answer unsigned': _answer_unsigned,
            'answer short': _answer_short,
            'answer without length': _answer_without_length,
            'answer after a stray one': _answer_after_stray,
            'answer twice': _answer_twice,
            'stream': _stream,
            'stream and cut': _stream_cut,
            'stream slowly': _stream_slowly,
            'stream and trickle': _trickle,
            'stream with pauses': _stream_with_pauses,
            **_ENDLESS,
        }
    )
)
