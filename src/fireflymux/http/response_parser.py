"""Reads answers out of the bytes of a connection to a server, one message after the other."""

from collections import deque

import attrs
import httptools

from .messages import AnswerHead, Fields, find_field

_FIRST_FINAL_STATUS = 200
_BODYLESS_STATUSES = frozenset((204, 304))


@attrs.define(eq=False)
class Answer:
    """One answer as far as it has come.

    Attributes:
        head: Status and fields.
        pieces: Parts of the body that nobody took yet.
        is_whole: Whether its end has come.
        ends_with_connection: Whether its end is the end of the connection.
    """

    head: AnswerHead
    unread_parts: deque[bytes] = attrs.field(factory=deque)
    is_whole: bool = False
    ends_with_connection: bool = False


class ResponseParser:
    """Collects the answers of one connection.

    Attributes:
        answers: Answers in order of their heads; the taker removes them.
        is_spoiled: Whether bytes came that are no answer.
        keeps_alive: Whether the server keeps the connection after the last whole answer.
        progress: Final heads, and bytes of bodies, that came so far.
    """

    def __init__(self) -> None:
        """Starts before the first answer."""
        self.answers: deque[Answer] = deque()
        self.is_malformed = False
        self.keeps_alive = True
        self.progress = 0
        self._parser = httptools.HttpResponseParser(self)
        self._fields: Fields = []
        self._current_response: Answer | None = None

    def feed(self, received: bytes) -> None:
        """Takes bytes of the connection.

        Args:
            received: The bytes, in order.
        """
        if self.is_malformed:
            return
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True

    def feed_eof(self) -> None:
        """Takes the orderly end of the connection."""
        self.keeps_alive = False
        answer = self._current_response
        if answer is not None and answer.ends_with_connection and not self.is_malformed:
            answer.is_whole = True

    def on_message_begin(self) -> None:
        """Starts an answer; called by the parser."""
        self._fields = []
        self._current_response = None

    def on_header(self, name: bytes, content: bytes) -> None:
        """Takes a field line; called by the parser."""
        self._fields.append((name, content))

    def on_headers_complete(self) -> None:
        """Takes the head; called by the parser."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        length = find_field(self._fields, b'content-length')
        is_chunked = b'chunked' in find_field(self._fields, b'transfer-encoding').lower()
        self._current_response = Answer(
            AnswerHead(
                status=status,
                fields=self._fields,
                is_chunked=is_chunked,
                content_length=int(length) if length.isdigit() else None,
            ),
            ends_with_connection=not (is_chunked or length or status in _BODYLESS_STATUSES),
        )
        self.answers.append(self._current_response)
        self.progress += 1

    def on_body(self, part: bytes) -> None:
        """Takes a part of the body; called by the parser."""
        if self._current_response is not None:
            self._current_response.unread_parts.append(part)
            self.progress += len(part)

    def on_message_complete(self) -> None:
        """Ends an answer; called by the parser."""
        if self._current_response is None:
            return
        self._current_response.is_whole = True
        self.keeps_alive = self.keeps_alive and self._parser.should_keep_alive()
