"""Parses the requests of one connection and rejects invalid ones.

A request is rejected if its body length can be interpreted in more than one way; this prevents
request smuggling. It is also rejected if it is not valid HTTP, asks for an upgrade, exceeds a
size limit, has not exactly one Host field, or has a target that does not start with a slash.
"""

from collections.abc import Callable
from typing import Any, NoReturn

import attrs
import httptools

from .messages import (
    FIELD_COST_BYTES,
    FIELD_WHITESPACE,
    HeaderFields,
    HttpLimits,
    Request,
    find_header,
)

_BAD_REQUEST = 400
_CONTENT_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CHUNKED = b'chunked'
_FIRST_VERSION_WITH_CHUNKS = '1.1'
_UPGRADE_REASON = 'upgrades are not supported'


class _Rejected(Exception):
    """Stops the httptools parser, which would go on to the next request otherwise."""


@attrs.define(frozen=True)
class Violation:
    """Why the input of a connection was rejected.

    Attributes:
        status: Status code of the error response.
        reason: One-line explanation, sent as the body of the error response.
    """

    status: int
    reason: str


class RequestParser:
    """Incremental parser for the requests of one connection.

    The methods whose names begin with `on_` are callbacks of the httptools parser.

    Attributes:
        violation: First error found, or None. After it no input is parsed. The connection sets it
            for a request that is too slow.
        method: Method of the current, last or rejected request; empty until it is known.
        requests_begun: Number of requests whose first byte was parsed.
        is_in_head: Whether the parser is between the first byte and the end of a head.
        is_in_body: Whether the parser is between the end of a head and the end of the body.
        expects_continue: Whether the caller waits to be told to send the body of the current
            request. The connection clears it once the caller was told.
    """

    def __init__(self, limits: HttpLimits, on_request: Callable[[Request], None]) -> None:
        """Creates a parser for a new connection.

        Args:
            limits: Maximum sizes of heads and bodies.
            on_request: Called with each complete request.
        """
        self.violation: Violation | None = None
        self.method = b''
        self.requests_begun = 0
        self.is_in_head = False
        self.is_in_body = False
        self.expects_continue = False
        self._limits = limits
        self._on_request = on_request
        self._parser: Any = httptools.HttpRequestParser(self)
        self._target = b''
        self._fields: HeaderFields = []
        self._body = bytearray()
        self._head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the request which is being received takes, about."""
        return self._head_bytes + len(self._fields) * FIELD_COST_BYTES + len(self._body)

    def close(self) -> None:
        """Lets go of all input; no more is parsed.

        The parser and httptools refer to each other, so that the memory would otherwise be kept
        until a full run of the garbage collector.
        """
        self._let_go()
        self._parser = None

    def feed(self, received: bytes) -> None:
        """Parses the next bytes received; errors are reported in `violation`.

        Args:
            received: The bytes, in the order received.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._add_violation(_BAD_REQUEST, _UPGRADE_REASON)
        except httptools.HttpParserError as error:
            self._add_violation(_BAD_REQUEST, str(error))

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self.method = b''
        self.requests_begun += 1
        self.is_in_head = True
        self.expects_continue = False
        self._let_go()

    def on_url(self, part: bytes) -> None:
        """Adds a part of the request target, before which the method has been parsed."""
        self.method = self._parser.get_method()
        self._target += part
        self._add_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; one behind a chunked body only counts for the size limit."""
        self._add_head_bytes(len(name) + len(value) + len(b': \r\n'))
        if self.is_in_head:
            self._fields.append((name, value.rstrip(FIELD_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Validates the head and the body length that it states."""
        self.is_in_head = False
        self.is_in_body = True
        # The parser takes what follows an upgrade for another protocol, so that no body would arrive.
        reason = _UPGRADE_REASON if self._parser.should_upgrade() else self._validate_head()
        if reason:
            self._reject(_BAD_REQUEST, reason)
        expectation = find_header(self._fields, b'expect').lower()
        self.expects_continue = expectation == b'100-continue' and self._knows_chunks()
        length = find_header(self._fields, b'content-length')
        if length and int(length) > self._limits.body_bytes:
            self._reject(_CONTENT_TOO_LARGE, 'the body is too large')

    def on_body(self, part: bytes) -> None:
        """Adds a part of the body."""
        self._body += part
        if len(self._body) > self._limits.body_bytes:
            self._reject(_CONTENT_TOO_LARGE, 'the body is too large')

    def on_message_complete(self) -> None:
        """Passes the complete request to `on_request`."""
        self.is_in_body = False
        request = Request(
            method=self.method,
            target=self._target,
            fields=self._fields,
            content=bytes(self._body),
            keeps_alive=self._parser.should_keep_alive(),
            accepts_chunks=self._knows_chunks(),
        )
        # An idle connection must not keep its last request.
        self._let_go()
        self._on_request(request)

    def _let_go(self) -> None:
        """Forgets the target, the fields and the body of the last request."""
        self._target = b''
        self._fields = []
        self._body = bytearray()
        self._head_bytes = 0

    def _knows_chunks(self) -> bool:
        """Tells whether the caller knows chunks and interim responses; HTTP/1.0 has neither."""
        return self._parser.get_http_version() >= _FIRST_VERSION_WITH_CHUNKS

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._reject(_HEADERS_TOO_LARGE, 'the header fields are too large')

    def _validate_head(self) -> str:
        """Returns why the head is rejected, or an empty string if it is valid."""
        names = [name.lower() for name, _ in self._fields]
        if names.count(b'host') != 1:
            return 'exactly one Host field is needed'
        if names.count(b'content-length') > 1 or names.count(b'transfer-encoding') > 1:
            return 'the length of the body is ambiguous'
        transfer_coding = find_header(self._fields, b'transfer-encoding')
        if transfer_coding and (transfer_coding.lower() != _CHUNKED or b'content-length' in names):
            return 'the length of the body is ambiguous'
        if not self._target.startswith(b'/'):
            return 'the target is not a path'
        return ''

    def _reject(self, status: int, reason: str) -> NoReturn:
        """Records a violation; called within `feed` only, which the error ends."""
        self._add_violation(status, reason)
        raise _Rejected(reason)

    def _add_violation(self, status: int, reason: str) -> None:
        if self.violation is None:
            self.violation = Violation(status, reason)
