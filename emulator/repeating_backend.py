"""Emulates an endpoint that writes its first answer once more on the connection."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs
import trio

from fireflymux.http.messages import (
    HeaderFields,
    Request,
    encode_head,
    find_header,
    status_line,
)
from fireflymux.http.response_writer import ResponseWriter

from .backend import Backend
from .raw_response import encode_answer, send_encoded, send_raw

#: Pause between the parts of a copy, so that they arrive in reads of their own.
_PAUSE_SECONDS = 0.03
_ATTEMPT_ID = b'X-Attempt-Id'
_INTERIM_ANSWER = b'HTTP/1.1 103 Early Hints\r\n\r\n'
_REFUSED_STATUSES: Mapping[str, int] = MappingProxyType(
    {'refusal 503': 503, 'refusal 429': 429, 'refusal 421': 421}
)


#: Lines behind the body of a success in chunks, by kind.
_TRAILERS: Mapping[str, bytes] = MappingProxyType(
    {'stream': b'', 'stream with a trailer': b'X-Not-Executed: 1\r\n'}
)


@attrs.define(frozen=True)
class CopyTiming:
    """How the copy of an answer is written.

    Attributes:
        bytes_at_once: Bytes of it that follow the answer at once; None for all. The others come
            when the next request has arrived on the connection, before its answer.
        prefix: Bytes before it.
        pause_after: Bytes of the others that are written before a pause.
        has_id: Whether it repeats the identifier of the attempt.
        is_ended: Whether the others are written at all.
        last_text: Text in it with which it breaks off, on an open connection; empty for none.
        further_id: Another identifier that it states behind that of the attempt; empty for none.
    """

    bytes_at_once: int | None = 0
    prefix: bytes = b''
    pause_after: int = 0
    has_id: bool = True
    is_ended: bool = True
    last_text: bytes = b''
    further_id: bytes = b''


COPY_TIMINGS: Mapping[str, CopyTiming] = MappingProxyType(
    {
        'with the next request': CopyTiming(),
        'without its id': CopyTiming(has_id=False),
        'after an interim answer': CopyTiming(prefix=_INTERIM_ANSWER),
        'an interim answer at once': CopyTiming(
            bytes_at_once=len(_INTERIM_ANSWER), prefix=_INTERIM_ANSWER
        ),
        'in two reads': CopyTiming(pause_after=-4),
        'at once': CopyTiming(bytes_at_once=None),
        'with two ids': CopyTiming(further_id=b'a2'),
        'begun at once': CopyTiming(bytes_at_once=9),
        'begun at once and never ended': CopyTiming(bytes_at_once=9, is_ended=False),
        'up to its reason phrase': CopyTiming(last_text=b'HTTP/1.1 421 '),
        'up to within its reason phrase': CopyTiming(last_text=b'HTTP/1.1 503 Serv'),
        'up to within a field': CopyTiming(has_id=False, last_text=b'X-Not-Executed: '),
        'begun at once and without its id': CopyTiming(bytes_at_once=9, has_id=False),
    }
)


class RepeatingBackend(Backend):
    """An endpoint that writes its first answer twice, and answers other requests as it should.

    The body of each success names the target of its request.

    Attributes:
        first: Kind of the first answer: a key of `_REFUSED_STATUSES`, `success`, or a key of
            `_TRAILERS` for a success in chunks.
        timing: How the copy is written.
        connections: Connections on which requests arrived.
    """

    def __init__(self, name: str, first: str, timing: CopyTiming) -> None:
        super().__init__(name)
        self.first = first
        self.timing = timing
        self.connections: set[ResponseWriter] = set()
        self._due: dict[ResponseWriter, bytes] = {}
        self._is_first = True

    async def respond(self, request: Request, writer: ResponseWriter) -> None:
        """Handles one request, after the part of a copy that is due on its connection."""
        self.connections.add(writer)
        # HTTP does not count spaces around a value as part of it.
        attempt = find_header(request.fields, _ATTEMPT_ID.lower()).strip()
        fields = [(_ATTEMPT_ID, attempt)] if attempt else []
        if not self._is_first:
            self.requests.append(request)
            await self._send_due(writer)
            await send_encoded(writer, self._encode_success(request, fields))
            return
        self._is_first = False
        if self.first not in _REFUSED_STATUSES:
            self.requests.append(request)
        copy_fields = fields if self.timing.has_id else []
        if self.timing.further_id:
            copy_fields = [*fields, (_ATTEMPT_ID, self.timing.further_id)]
        copy = self.timing.prefix + self._encode_first(request, copy_fields)
        if self.timing.last_text:
            copy = copy[: copy.index(self.timing.last_text) + len(self.timing.last_text)]
        at_once = len(copy) if self.timing.bytes_at_once is None else self.timing.bytes_at_once
        self._due[writer] = copy[at_once:] if self.timing.is_ended else b''
        await send_encoded(writer, self._encode_first(request, fields) + copy[:at_once])

    async def _send_due(self, writer: ResponseWriter) -> None:
        due = self._due.pop(writer, b'')
        if due and self.timing.pause_after:
            await send_raw(writer, due[: self.timing.pause_after])
            await trio.sleep(_PAUSE_SECONDS)
            due = due[self.timing.pause_after :]
        await send_raw(writer, due)

    def _encode_first(self, request: Request, fields: HeaderFields) -> bytes:
        status = _REFUSED_STATUSES.get(self.first)
        if status is None:
            return self._encode_success(request, fields)
        return encode_answer(status, [*fields, (b'X-Not-Executed', b'1')], b'not run')

    def _encode_success(self, request: Request, fields: HeaderFields) -> bytes:
        content = b'id: 0\ndata: %b\n\n' % request.target
        signed = [*fields, (b'X-Server-Signature', b'e0')]
        if request.method == b'HEAD':
            return encode_answer(200, signed, content).removesuffix(content)
        if self.first not in _TRAILERS:
            return encode_answer(200, signed, content)
        head = encode_head(status_line(200), [*signed, (b'Transfer-Encoding', b'chunked')])
        trailer = _TRAILERS[self.first]
        return b'%b%x\r\n%b\r\n0\r\n%b\r\n' % (head, len(content), content, trailer)
