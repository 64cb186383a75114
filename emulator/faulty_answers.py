"""Answers of an endpoint that stutters, drawn at random for each request.

Some are refusals: the endpoint does not run the request. With the others it runs. Each kind of
fault is one that callers must not take for the answer to their request, or that is passed on to them
as it is.
"""

import random
import weakref
from collections.abc import Mapping
from types import MappingProxyType

import trio

from fireflymux.http.messages import HeaderFields
from fireflymux.http.response_writer import ResponseWriter

from .raw_response import encode_answer, send_extra_answer, send_raw

#: Answers that refuse the request.
REFUSALS = ('refused', 'limited', 'refused twice')
_GARBAGE_IN_STREAM = 'garbage in a stream'
#: Answers to requests of any kind.
_FAILURES = (
    'failed',
    'not found',
    'unsigned',
    'garbage',
    _GARBAGE_IN_STREAM,
    'nothing',
    'nothing for long',
    'of another',
    'cut head',
)
#: Bodies of signed successes that do not continue the stream that the request resumes.
_NO_EVENTS = (b'no such stream', b'data: no such stream\n\n', b'<html></html>\n', b'{"kind": 1}')
_NO_EVENTS_KIND = 'no events'
#: Answers to requests that resume a stream, beside those to any.
_FAILURES_OF_RESUMED = ('failed', 'not found', _NO_EVENTS_KIND, _NO_EVENTS_KIND)
#: Faults beside an answer that is sound.
EXTRAS = ('another before', 'twice at once', 'twice', 'twice')
_SOUND_PROBABILITY = 0.7
#: Bytes without end in place of an answer, and the blocks of them that are sent at the most.
FLOOD = 'flood'
_FLOOD_BLOCK_BYTES = 16384
_FLOOD_BLOCKS = 1000
_SOUND_PROBABILITY_OF_RESUMED = 0.2
#: Probability that a stream that breaks off ends with the head of another answer.
_SECOND_HEAD_PROBABILITY = 0.3
#: Probability that an endpoint that only stutters sends a further answer beside a sound one.
_EXTRA_PROBABILITY = 0.5
#: Probability that an answer that is not sound is repeated.
_REPEAT_PROBABILITY = 0.4
#: When an answer is repeated: soon, or with the next answer on the connection.
_REPEAT_WAYS = ('soon', 'before the next', 'within the next')
_OK = 200
_FAILED = 500
_NOT_FOUND = 404
#: Statuses of the errors with which an endpoint answers.
_STATUSES: Mapping[str, int] = MappingProxyType({'failed': _FAILED, 'not found': _NOT_FOUND})
_REFUSED = 503
_LIMITED = 429
#: Range of the time until an extra answer arrives on a connection that may be idle by then.
_LATE_SECONDS = (0.0, 0.05)
#: Range of the time without an answer, after which the connection ends.
_SILENCE_SECONDS = (0.2, 2.5)


class FaultyAnswers:
    """Draws and writes the faulty answers of one endpoint."""

    def __init__(self, rng: random.Random) -> None:
        """Prepares the answers.

        Args:
            rng: Draws the faults.
        """
        self._rng = rng
        # Extra answers by the connection on which they precede the next answer, or fall into it.
        self._owed: weakref.WeakKeyDictionary[ResponseWriter, bytes] = weakref.WeakKeyDictionary()
        self._owed_within: weakref.WeakKeyDictionary[ResponseWriter, bytes] = (
            weakref.WeakKeyDictionary()
        )

    def draw(self, *, is_resumed: bool) -> str:
        """Draws the fault of an answer; empty for none.

        Args:
            is_resumed: Whether the request resumes a stream.
        """
        sound = _SOUND_PROBABILITY_OF_RESUMED if is_resumed else _SOUND_PROBABILITY
        if self._rng.random() < sound:
            return ''
        failures = (*_FAILURES, *_FAILURES_OF_RESUMED) if is_resumed else _FAILURES
        return self._rng.choice((*REFUSALS, *EXTRAS, *failures))

    def draw_extra(self) -> str:
        """Draws a fault beside a sound answer; empty for none."""
        return self._rng.choice(EXTRAS) if self._rng.random() < _EXTRA_PROBABILITY else ''

    async def send_owed(self, writer: ResponseWriter) -> None:
        """Sends the extra answer to an earlier request that is owed on a connection, if any."""
        content = self._owed.pop(writer, b'')
        if content:
            await send_raw(writer, content)

    async def send_owed_within(self, writer: ResponseWriter) -> None:
        """Sends the extra answer that falls between two events of a later stream, if any."""
        content = self._owed_within.pop(writer, b'')
        if content:
            await send_raw(writer, content)

    async def refuse(self, kind: str, writer: ResponseWriter, attempt: bytes) -> None:
        """Refuses a request, and perhaps once more when the next one on the connection is due.

        Args:
            kind: One of `REFUSALS`.
            writer: Writes the answer.
            attempt: Identifier of the request.
        """
        fields = [(b'X-Attempt-Id', attempt), (b'X-Not-Executed', b'1')]
        status = _LIMITED if kind == 'limited' else _REFUSED
        await writer.answer(status, fields, b'')
        if kind == 'refused twice':
            await self._repeat(writer, encode_answer(status, fields, b''))

    async def send_before(self, kind: str, writer: ResponseWriter) -> None:
        """Sends the answer of another request before a sound one, for that kind of extra."""
        if kind == 'another before':
            await self._send_another(writer)

    async def send_after(self, kind: str, writer: ResponseWriter, fields: HeaderFields) -> None:
        """Sends a second answer after a sound one, for the kinds of extras that have one."""
        if kind not in EXTRAS or kind == 'another before':
            return
        second = encode_answer(_OK, fields, b'the second answer')
        if kind == 'twice':
            await self._repeat(writer, second)
        else:
            await send_raw(writer, second)

    def find_status(self, kind: str, method: bytes) -> int:
        """Returns the status of a faulty answer if it is one of the endpoint's own; zero if not.

        Args:
            kind: What `draw` returned.
            method: HTTP method of the request; an answer to HEAD is whole without its body.
        """
        if kind == _GARBAGE_IN_STREAM and method == b'HEAD':
            return _OK
        return _STATUSES.get(kind, 0)

    async def fail(self, kind: str, writer: ResponseWriter, fields: HeaderFields) -> None:
        """Writes the answer to a request that was run and is not answered well.

        Args:
            kind: What `draw` returned.
            writer: Writes the answer.
            fields: Identifier of the request and signature of the endpoint.
        """
        if kind in _STATUSES:
            await self._answer(writer, _STATUSES[kind], fields, kind.encode())
        elif kind == _NO_EVENTS_KIND:
            await self._answer(writer, _OK, fields, self._rng.choice(_NO_EVENTS))
        elif kind == 'unsigned':
            await self._answer(writer, _OK, fields[:1], b'id: 0\ndata: unsigned\n\n')
        else:
            await self._break(kind, writer, fields)
            writer.abort()

    async def _answer(
        self, writer: ResponseWriter, status: int, fields: HeaderFields, content: bytes
    ) -> None:
        """Answers a request, and perhaps once more."""
        await writer.answer(status, fields, content)
        if self._rng.random() < _REPEAT_PROBABILITY:
            await self._repeat(writer, encode_answer(status, fields, content))

    async def break_stream(self, writer: ResponseWriter, event: bytes) -> None:
        """Breaks a stream off before an event, within it, or with bytes that are no chunk."""
        part = event[: self._rng.randrange(len(event))]
        if part:
            await writer.send_chunk(part)
        if self._rng.random() < _SECOND_HEAD_PROBABILITY:
            await send_raw(writer, b'HTTP/1.1 500 Internal Server Error\r\n\r\n')
        writer.abort()

    async def _break(self, kind: str, writer: ResponseWriter, fields: HeaderFields) -> None:
        if kind == FLOOD:
            await self._flood(writer, fields)
            return
        if kind == 'nothing for long':
            await trio.sleep(self._rng.uniform(*_SILENCE_SECONDS))
        if kind == _GARBAGE_IN_STREAM:
            await writer.start(_OK, fields, b'')
        if kind == 'of another':
            await self._send_another(writer)
        raw = {
            'garbage': b'\x15\x03\x01garbage\r\n\r\n',
            _GARBAGE_IN_STREAM: b'zz\r\ngarbage\r\n',
            'cut head': encode_answer(_OK, fields, b'')[:-2],
        }
        await send_raw(writer, raw.get(kind, b''))

    async def _flood(self, writer: ResponseWriter, fields: HeaderFields) -> None:
        """Sends fields, a body or events without end, until the other side closes."""
        head = encode_answer(_OK, fields, b'')[:-2]
        start, unit = self._rng.choice(
            ((head, b'a:b\r\n'), (head, b'x' * 999), (b'', b'HTTP/1.1 100 Continue\r\n\r\n'))
        )
        await send_raw(writer, start)
        for _ in range(_FLOOD_BLOCKS):
            await send_raw(writer, unit * (_FLOOD_BLOCK_BYTES // len(unit)))

    async def _send_another(self, writer: ResponseWriter) -> None:
        fields = [(b'X-Attempt-Id', b'of-another'), (b'X-Server-Signature', b'another')]
        await send_extra_answer(writer, _OK, fields, b'id: 0\ndata: of-another 0\n\n')

    async def _repeat(self, writer: ResponseWriter, content: bytes) -> None:
        """Sends an answer once more, soon, or before or within the next one on the connection."""
        way = self._rng.choice(_REPEAT_WAYS)
        if way == 'before the next':
            self._owed[writer] = content
        elif way == 'within the next':
            self._owed_within[writer] = content
        else:
            await trio.sleep(self._rng.uniform(*_LATE_SECONDS))
            await send_raw(writer, content)
