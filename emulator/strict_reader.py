"""Reads the bytes that a caller gets, and accepts nothing but the exact form of responses.

The parser of `fireflymux.http` is lenient and shares assumptions with the server side; a fault of
that side can therefore look to it like a connection that broke. This one names each byte that is
part of no response, with the bytes around it.
"""

import enum
import re

import attrs

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_HEAD_START = b'HTTP/1.1 '
_STATUS_LINE = re.compile(rb'HTTP/1\.1 ([1-5][0-9]{2}) [^\r\n]*')
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+): ?([^\r\n]*)")
_CHUNK_SIZE = re.compile(rb'[0-9a-f]{1,8}')
_CONTINUE_STATUS = 100
_BODYLESS_STATUSES = frozenset((204, 304))
#: Bytes before and after a violation that its text shows.
_CONTEXT_BYTES = 160


class _State(enum.Enum):
    """What the next bytes belong to."""

    head = 'a head'
    body = 'a body'
    body_to_end = 'a body that ends with the connection'
    chunk_size = 'a chunk size'
    chunk = 'a chunk'
    last_chunk = 'the last chunk'


@attrs.define
class StrictAnswer:
    """One response, as far as it was received.

    Attributes:
        status: Status code.
        fields: Header fields by name in lower case.
        content: Body, without its chunked coding.
        is_complete: Whether it was received to its end.
    """

    status: int
    fields: dict[str, str]
    content: bytes = b''
    is_complete: bool = False

    @property
    def closes(self) -> bool:
        """Whether it states that its connection closes after it."""
        return self.fields.get('connection', '').lower() == 'close'


@attrs.define
class StrictReader:
    """The responses on one connection.

    Attributes:
        answers: Responses, in the order of the requests; the last one may be incomplete.
        answers_due: Number of responses that all requests so far are to get.
        head_answers: Numbers of the responses to HEAD requests, counted from zero; they have no body.
        is_http10: Whether the caller speaks HTTP/1.0: it knows no chunks and no interim responses.
        continues_before: Number of the response that an interim response 100 may precede, counted
            from zero; -1 if no request waits for one.
        violation: What was received that is part of no response, and the bytes around it; empty
            while there is nothing. Nothing is read after it.
    """

    answers: list[StrictAnswer] = attrs.field(factory=list)
    answers_due: int = 0
    head_answers: set[int] = attrs.field(factory=set)
    is_http10: bool = False
    continues_before: int = -1
    violation: str = ''
    _state: _State = _State.head
    _buffer: bytes = b''
    _consumed: bytes = b''
    _missing_bytes: int = 0

    def feed(self, received: bytes) -> None:
        """Adds received bytes."""
        self._buffer += received
        is_read = True
        while is_read and self._buffer and not self.violation:
            is_read = self._read_next()

    def end(self) -> None:
        """Tells that the connection ended in order, and with it a body that states no length."""
        if self._state is _State.body_to_end:
            self._end_answer()

    def find_leftover(self) -> str:
        """Returns what the connection ended with if that is no start of a response; else empty."""
        is_head = _HEAD_START.startswith(self._buffer[: len(_HEAD_START)])
        if self._state is _State.head and not is_head and not self.violation:
            self._fail('the connection ended after bytes that begin no head')
        return self.violation

    def _read_next(self) -> bool:
        """Reads the next part of a response; returns whether it was there in full."""
        if self._state is _State.head:
            return self._read_head()
        if self._state is _State.chunk_size:
            return self._read_chunk_size()
        if self._state is _State.body_to_end:
            return self._read_to_end()
        return self._read_content()

    def _read_head(self) -> bool:
        start = self._buffer[: len(_HEAD_START)]
        if not _HEAD_START.startswith(start):
            return self._fail('bytes where a head is due')
        if self.answers_due <= len(self.answers):
            return self._fail('bytes although no request waits for a response')
        if self.answers and self.answers[-1].closes:
            return self._fail('bytes behind a response that ends the connection')
        head, end, _ = self._buffer.partition(_HEAD_END)
        if not end:
            return False
        status_line, *field_lines = head.split(_LINE_END)
        status = _STATUS_LINE.fullmatch(status_line)
        fields = [_FIELD_LINE.fullmatch(line) for line in field_lines]
        if status is None or None in fields:
            return self._fail('a malformed head')
        names = [field[1].decode().lower() for field in fields if field]
        texts = [field[2].decode('latin-1') for field in fields if field]
        self._consume(len(head) + len(end))
        answer = StrictAnswer(int(status[1]), dict(zip(names, texts, strict=True)))
        if answer.status == _CONTINUE_STATUS:
            return self._take_continue()
        self.answers.append(answer)
        return self._begin_body(answer, names)

    def _take_continue(self) -> bool:
        if self.continues_before != len(self.answers):
            return self._fail('an interim response that no request waits for')
        self.continues_before = -1
        return True

    def _begin_body(self, answer: StrictAnswer, names: list[str]) -> bool:
        if answer.status in _BODYLESS_STATUSES or len(self.answers) - 1 in self.head_answers:
            answer.is_complete = True
            return True
        framing = [name for name in names if name in {'content-length', 'transfer-encoding'}]
        if self.is_http10 and not framing:
            self._state = _State.body_to_end
            return True
        if len(framing) != 1:
            return self._fail('a head with {0} fields that state the length'.format(len(framing)))
        stated = answer.fields[framing[0]]
        if stated == 'chunked' and not self.is_http10:
            self._state = _State.chunk_size
            return True
        if not stated.isdigit():
            return self._fail('a head with a malformed length')
        self._missing_bytes = int(stated)
        self._state = _State.body
        if not self._missing_bytes:
            self._end_answer()
        return True

    def _read_chunk_size(self) -> bool:
        line, end, _ = self._buffer.partition(_LINE_END)
        is_size = _CHUNK_SIZE.fullmatch(line if end else line.rstrip(b'\r'))
        if is_size is None:
            return self._fail('bytes where a chunk size is due')
        if not end:
            return False
        self._missing_bytes = int(line, 16)
        self._state = _State.chunk if self._missing_bytes else _State.last_chunk
        self._consume(len(line) + len(end))
        return True

    def _read_to_end(self) -> bool:
        self.answers[-1].content += self._buffer
        self._consume(len(self._buffer))
        return True

    def _read_content(self) -> bool:
        answer = self.answers[-1]
        part = self._buffer[: self._missing_bytes]
        answer.content += part
        self._missing_bytes -= len(part)
        self._consume(len(part))
        if self._missing_bytes:
            return False
        if self._state is _State.body:
            self._end_answer()
            return True
        if not _LINE_END.startswith(self._buffer[: len(_LINE_END)]):
            return self._fail('bytes where the end of a chunk is due')
        if len(self._buffer) < len(_LINE_END):
            return False
        self._consume(len(_LINE_END))
        if self._state is _State.last_chunk:
            self._end_answer()
        else:
            self._state = _State.chunk_size
        return True

    def _end_answer(self) -> None:
        self.answers[-1].is_complete = True
        self._state = _State.head

    def _consume(self, count: int) -> None:
        self._consumed = (self._consumed + self._buffer[:count])[-_CONTEXT_BYTES:]
        self._buffer = self._buffer[count:]

    def _fail(self, reason: str) -> bool:
        self.violation = '{0}: {1!r} follows {2!r}'.format(
            reason, self._buffer[:_CONTEXT_BYTES], self._consumed
        )
        return False
