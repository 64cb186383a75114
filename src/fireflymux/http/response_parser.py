"""Parses the responses that arrive on a connection to a server."""

import re
from collections import deque
from typing import Any

import attrs
import httptools

from .messages import (
    BODYLESS_STATUSES,
    FIELD_COST_BYTES,
    FIELD_WHITESPACE,
    HeaderFields,
    ResponseHead,
    find_header,
    list_header_values,
)

_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_CHUNKED = b'chunked'
_VERSION_START = b'HTTP/1.'
_STATUS_LINE_START = re.compile(rb'HTTP/1\.[01] [0-9]{3}(?: |$)', re.MULTILINE)


#: Memory that a head takes beside its bytes, about.
_HEAD_COST_BYTES = 512
#: Largest head, with what its fields cost.
_MAXIMUM_HEAD_BYTES = 131072
#: Responses that are kept while none of them is read; a server sends one for each request.
_MAXIMUM_QUEUED_RESPONSES = 32


class _Unreadable(Exception):
    """Stops the httptools parser, which would go on to further responses otherwise."""


@attrs.define(eq=False)
class IncomingResponse:
    """A response whose body may still be arriving.

    Attributes:
        head: Status and header fields.
        unread: Part of the body that was received but not read yet.
        body_units: Parts in which the body has arrived.
        is_complete: Whether the response was received to its end.
        ends_at_close: Whether the body is delimited by the close of the connection,
            because the response states no length.
    """

    head: ResponseHead
    unread: bytearray = attrs.field(factory=bytearray)
    body_units: int = 0
    is_complete: bool = False
    ends_at_close: bool = False


class ResponseParser:
    """Incremental parser for the responses of one connection.

    Interim responses (status 1xx) are skipped. The methods whose names begin with `on_` are
    callbacks of the httptools parser.

    Attributes:
        responses: Final responses in the order received; the reader removes each one.
        answers_head: Whether the present request is a HEAD request, whose response states the
            length of a body that does not follow. httptools cannot be told so; such a response is
            the last one that the parser can read.
        is_malformed: Whether the server sent bytes that are not valid HTTP.
        is_ended: Whether no further response can be read, although all that was is valid.
        is_in_response: Whether bytes of a response were received, interim ones included, whose
            final response is not complete yet.
        keeps_alive: Whether the connection can carry another request (HTTP keep-alive).
        progress: Number of final response heads plus body bytes received so far, which is only
            compared with an earlier value: it does not grow while a server sends only header or
            framing bytes.
        units: Number of fields, interim responses and body parts received so far, which tells
            how much work the input was.
        overhead_bytes: Memory and work that the units since the last progress cost, beside their
            bytes.
    """

    def __init__(self) -> None:
        """Creates a parser for a new connection."""
        self.responses: deque[IncomingResponse] = deque()
        self.answers_head = False
        self.is_malformed = False
        self.is_ended = False
        self.is_in_response = False
        self.keeps_alive = True
        self.progress = 0
        self.units = 0
        self.overhead_bytes = 0
        self._head_bytes = 0
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reason = b''
        self._fields: HeaderFields = []
        self._current_response: IncomingResponse | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the current head and the unread bodies take, about."""
        return self._head_bytes + sum(len(response.unread) for response in self.responses)

    def feed(self, received: bytes) -> None:
        """Parses the next bytes received; errors are reported in `is_malformed`.

        Args:
            received: The bytes, in the order received.
        """
        if self.is_malformed or self.is_ended:
            return
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = not self.is_ended

    def feed_eof(self) -> None:
        """Records that the server closed the connection, which can complete a response."""
        self.keeps_alive = False
        response = self._current_response
        if response is not None and response.ends_at_close and not self.is_malformed:
            response.is_complete = True

    def close(self) -> None:
        """Lets go of all input; no more is parsed.

        The parser and httptools refer to each other, so that the memory would otherwise be kept
        until a full run of the garbage collector.
        """
        self.is_ended = True
        self.keeps_alive = False
        self.responses.clear()
        self._parser = None
        self._fields = []
        self._current_response = None

    def on_message_begin(self) -> None:
        """Resets the state for a new response."""
        self.is_in_response = True
        self._count_unit(_HEAD_COST_BYTES)
        self._head_bytes = _HEAD_COST_BYTES
        self._reason = b''
        self._fields = []
        self._current_response = None

    def on_status(self, part: bytes) -> None:
        """Adds a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; one behind a chunked body is no part of the head."""
        self._count_unit(FIELD_COST_BYTES)
        if self._current_response is not None:
            return
        self._head_bytes += len(name) + len(value) + FIELD_COST_BYTES
        if self._head_bytes > _MAXIMUM_HEAD_BYTES:
            raise _Unreadable(self._head_bytes)
        self._fields.append((name, value.rstrip(FIELD_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Starts a final response and determines how its body is delimited."""
        self._require_one_head()
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        if status > _LAST_STATUS:
            raise _Unreadable(status)
        codings = b','.join(list_header_values(self._fields, b'transfer-encoding')).lower()
        if codings not in {b'', _CHUNKED}:
            # With other codings, its end and its content could not be told for certain.
            raise _Unreadable(codings)
        length = find_header(self._fields, b'content-length')
        is_chunked = codings == _CHUNKED
        self._current_response = IncomingResponse(
            ResponseHead(
                status=status,
                fields=self._fields,
                is_chunked=is_chunked,
                content_length=int(length) if length.isdigit() else None,
            ),
            ends_at_close=not (is_chunked or length or status in BODYLESS_STATUSES),
        )
        if len(self.responses) >= _MAXIMUM_QUEUED_RESPONSES:
            raise _Unreadable(len(self.responses))
        self.responses.append(self._current_response)
        self.progress += 1
        if self.answers_head:
            self._end_without_body(self._current_response)

    def on_body(self, part: bytes) -> None:
        """Adds a part of the body."""
        if self._current_response is not None:
            self._current_response.unread += part
            self._current_response.body_units += 1
            self.units += 1
            self.progress += len(part)

    def on_message_complete(self) -> None:
        """Marks the current response as complete."""
        if self._current_response is None:
            return
        self.is_in_response = False
        self._current_response.is_complete = True
        self.keeps_alive = self.keeps_alive and self._parser.should_keep_alive()

    def _count_unit(self, cost_bytes: int) -> None:
        self.units += 1
        self.overhead_bytes += cost_bytes

    def _require_one_head(self) -> None:
        """Raises `_Unreadable` if the reason phrase or a value holds the start of another response.

        The head before it was cut there, so that its status and first fields belong to another
        response than those that follow.
        """
        texts = b'\n'.join([self._reason, *[value for _, value in self._fields]])
        if _VERSION_START in texts and _STATUS_LINE_START.search(texts):
            raise _Unreadable(texts)

    def _end_without_body(self, response: IncomingResponse) -> None:
        response.head.content_length = None
        response.ends_at_close = False
        response.is_complete = True
        self.is_ended = True
        self.keeps_alive = False
        # What httptools would take for the body belongs to no response.
        raise _Unreadable('the body does not follow')
