"""Reads whole requests out of the bytes of a connection and rejects ambiguous ones."""

from collections.abc import Callable

import attrs
import httptools

from .messages import Fields, HttpLimits, Request, find_field

_BAD_REQUEST = 400
_CONTENT_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CHUNKED = b'chunked'


@attrs.define(frozen=True)
class Violation:
    """Why the bytes of a connection can't be taken as requests.

    Attributes:
        status: Status code of the answer.
        reason: One line for people.
    """

    status: int
    reason: str


class RequestParser:
    """Collects the requests of one connection.

    Attributes:
        violation: The first problem found; nothing is read after it.
        is_in_head: Whether a head has begun and not ended.
        is_in_body: Whether a head has ended and its body has not.
    """

    def __init__(self, limits: HttpLimits, on_request: Callable[[Request], None]) -> None:
        """Starts before the first request.

        Args:
            limits: Bounds on heads and bodies.
            on_request: Called with each whole request.
        """
        self.violation: Violation | None = None
        self.is_in_head = False
        self.is_in_body = False
        self.expects_continue = False
        self._limits = limits
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._fields: Fields = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    def feed(self, received: bytes) -> None:
        """Takes bytes of the connection.

        Args:
            received: The bytes, in order.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._reject(_BAD_REQUEST, 'upgrades are not supported')
        except httptools.HttpParserError as error:
            self._reject(_BAD_REQUEST, str(error))

    def on_message_begin(self) -> None:
        """Starts a request; called by the parser."""
        self.is_in_head = True
        self.expects_continue = False
        self._target = b''
        self._fields = []
        self._body = []
        self._head_bytes = 0
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Takes a part of the target; called by the parser."""
        self._target += part
        self._add_head_bytes(len(part))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Takes a field line; called by the parser."""
        self._fields.append((name, content))
        self._add_head_bytes(len(name) + len(content) + len(b': \r\n'))

    def on_headers_complete(self) -> None:
        """Checks the head; called by the parser."""
        self.is_in_head = False
        self.is_in_body = True
        reason = self._validate_head()
        if reason:
            self._reject(_BAD_REQUEST, reason)
            return
        self.expects_continue = find_field(self._fields, b'expect').lower() == b'100-continue'
        length = find_field(self._fields, b'content-length')
        if length and int(length) > self._limits.body_bytes:
            self._reject(_CONTENT_TOO_LARGE, 'the body is too large')

    def on_body(self, part: bytes) -> None:
        """Takes a part of the body; called by the parser."""
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._reject(_CONTENT_TOO_LARGE, 'the body is too large')
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Hands out the request; called by the parser."""
        self.is_in_body = False
        if self.violation is not None:
            return
        self._on_request(
            Request(
                method=self._parser.get_method(),
                target=self._target,
                fields=self._fields,
                content=b''.join(self._body),
                keeps_alive=self._parser.should_keep_alive(),
            )
        )

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._reject(_HEADERS_TOO_LARGE, 'the header fields are too large')

    def _validate_head(self) -> str:
        names = [name.lower() for name, _ in self._fields]
        if names.count(b'host') != 1:
            return 'exactly one Host field is needed'
        if names.count(b'content-length') > 1 or names.count(b'transfer-encoding') > 1:
            return 'the length of the body is ambiguous'
        coding = find_field(self._fields, b'transfer-encoding')
        if coding and (coding.lower() != _CHUNKED or b'content-length' in names):
            return 'the length of the body is ambiguous'
        if not self._target.startswith(b'/'):
            return 'the target is not a path'
        return ''

    def _reject(self, status: int, reason: str) -> None:
        if self.violation is None:
            self.violation = Violation(status, reason)
