"""Forwards server-sent events from endpoints to a caller, complete and in order.

If an attempt of a resumable stream breaks off, another endpoint resumes it after the last complete
event. The caller sees one response. An event is forwarded once it is complete, and numbered events
are not repeated. A response that cannot be told to continue the events before it is not joined to
them.
"""

from ..http.messages import HeaderFields, find_header
from ..http.response_reader import ResponseTooLarge
from ..http.response_writer import ResponseWriter

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data'
_COMMENT_PREFIX = b':'
#: Longest number that counts as the id of an event.
_MAXIMUM_ID_DIGITS = 18
#: Largest event; an endpoint that sends more without ending one might never end it.
_MAXIMUM_EVENT_BYTES = 1048576


class EventTooLarge(ResponseTooLarge):
    """An event exceeds the largest size."""


class StreamNotResumed(Exception):
    """An endpoint was asked to resume a stream, and its response does not continue it."""


class EventRelay:
    """The response to one request as its caller gets it; several endpoints may send its events.

    Attributes:
        last_event_id: Id of the last event that was forwarded, or that the caller already had; -1
            for none.
        event_writes: Number of writes to the caller so far, before the end, that held an event;
            writes of nothing but comments are not counted.
    """

    def __init__(self, writer: ResponseWriter, *, resume_after: int, has_event_ids: bool) -> None:
        """Prepares a response of which nothing was sent yet.

        Args:
            writer: Writes the caller's response.
            resume_after: Id of the last event that the caller has; -1 for none.
            has_event_ids: Whether events may have ascending numeric ids, by which repeated ones
                are recognized and dropped; an event without one is always kept.
        """
        self.last_event_id = resume_after
        self.event_writes = 0
        self._writer = writer
        self._has_event_ids = has_event_ids
        # Whether `last_event_id` tells where the caller is in the stream: no event without an id
        # was forwarded after it.
        self._is_place_known = has_event_ids
        self._partial = bytearray()
        self._is_resumed = False
        # Of the response to the caller.
        self._status = 0
        self._media_type = b''
        # Events that were forwarded before the present attempt.
        self._writes_before = 0

    @property
    def is_begun(self) -> bool:
        """Whether any of the response was sent to the caller."""
        return self._writer.has_begun

    @property
    def can_begin_attempt(self) -> bool:
        """Whether another endpoint could send the rest; all of it as long as nothing was sent."""
        return self._is_place_known or not self.is_begun

    @property
    def partial_bytes(self) -> int:
        """Number of bytes that are kept of an event that is not complete."""
        return len(self._partial)

    @property
    def is_between_events(self) -> bool:
        """Whether all received bytes belong to complete events."""
        return not self._partial

    def begin_attempt(self, status: int, fields: HeaderFields) -> None:
        """Discards the incomplete event of an attempt that broke off, and starts the next one.

        Args:
            status: Status of the endpoint's response.
            fields: Header fields of the endpoint's response.

        Raises:
            StreamNotResumed: The response to the caller has begun with another status or media
                type.
        """
        self._partial.clear()
        self._is_resumed = self.is_begun
        self._writes_before = self.event_writes
        media_type = _parse_media_type(fields)
        if self._is_resumed and (status, media_type) != (self._status, self._media_type):
            raise StreamNotResumed('it is {0} {1!r}'.format(status, media_type))
        self._status = status
        self._media_type = media_type

    async def forward(self, received: bytes, status: int, fields: HeaderFields) -> None:
        """Adds bytes of the endpoint's response, and forwards the events that are complete.

        Args:
            received: The bytes that follow those of the call before.
            status: Status for the caller, if the response has not begun.
            fields: Header fields for the caller, if the response has not begun.

        Raises:
            EventTooLarge: The incomplete event exceeds the largest size.
            StreamNotResumed: The stream was resumed, and an event has no place in its order.
        """
        # Only the last byte of what is kept can belong to the end of an event that follows.
        searched = max(len(self._partial) - 1, 0)
        self._partial += received
        end = self._partial.rfind(_EVENT_END, searched)
        if len(self._partial) - max(end, 0) > _MAXIMUM_EVENT_BYTES:
            raise EventTooLarge('an event', len(self._partial))
        if end < 0:
            return
        complete = bytes(self._partial[: end + len(_EVENT_END)])
        self._partial = self._partial[len(complete) :]
        last_event_id, is_place_known = self.last_event_id, self._is_place_known
        if self._has_event_ids:
            complete, last_event_id, is_place_known = self._drop_repeated(complete)
        await self._send(complete, status, fields)
        # An event counts as forwarded once it was sent: a write that is cancelled before sends none.
        self.last_event_id = last_event_id
        self._is_place_known = is_place_known

    async def end(self, status: int, fields: HeaderFields) -> None:
        """Forwards the bytes that are left, and ends the response.

        They are what follows the last blank line: nothing, an event or comment without its closing
        blank line, or a stream whose lines do not end with LF alone. They are neither completed
        nor checked for a repeated id.

        Args:
            status: Status for the caller, if the response has not begun.
            fields: Header fields for the caller, if the response has not begun.

        Raises:
            StreamNotResumed: The stream was resumed, and there are bytes left that are no event,
                or nothing tells that the response is a stream.
        """
        remainder = bytes(self._partial)
        if self._is_resumed:
            self._check_end_of_rest()
        self._partial.clear()
        if not self.is_begun:
            await self._writer.start(status, fields, remainder)
        elif remainder:
            await self._writer.send_chunk(remainder)
        await self._writer.end()

    def _check_end_of_rest(self) -> None:
        """Raises `StreamNotResumed` unless the rest of a stream ends as one does."""
        if self._partial:
            raise StreamNotResumed(
                'it ends with {0} bytes that are no event'.format(len(self._partial))
            )
        if not self._media_type and self.event_writes == self._writes_before:
            # A stream that broke off behind its last event has an empty rest, but it says so.
            raise StreamNotResumed('it holds no event')

    async def _send(self, content: bytes, status: int, fields: HeaderFields) -> None:
        if not content:
            return
        self.event_writes += _contains_event(content)
        if self.is_begun:
            await self._writer.send_chunk(content)
            return
        await self._writer.start(status, fields, content)

    def _drop_repeated(self, events: bytes) -> tuple[bytes, int, bool]:
        """Drops events whose id is not above that of the last forwarded one.

        Returns:
            The events that are left, the id of the last one that has one, and whether no event
            without an id follows that one.

        Raises:
            StreamNotResumed: The stream was resumed, and an event has no id, so that its place
                among the events before it is not known.
        """
        kept = []
        last_event_id, is_place_known = self.last_event_id, self._is_place_known
        for event in events.split(_EVENT_END)[:-1]:
            number = _parse_event_id(event)
            if number is None:
                is_place_known = self._check_unnumbered(event) and is_place_known
                kept.append(event + _EVENT_END)
                continue
            if number <= last_event_id:
                continue
            last_event_id, is_place_known = number, True
            kept.append(event + _EVENT_END)
        return b''.join(kept), last_event_id, is_place_known

    def _check_unnumbered(self, event: bytes) -> bool:
        """Tells whether the place in the stream is the same behind an event without an id.

        Raises:
            StreamNotResumed: The stream was resumed, and the event has data.
        """
        if not _has_data(event):
            return True
        if self._is_resumed:
            raise StreamNotResumed('it has an event without an id')
        return False


def _contains_event(content: bytes) -> bool:
    """Tells whether there are events besides comments, which only keep the connection open."""
    if not content.startswith(_COMMENT_PREFIX):
        return True
    return any(not event.startswith(_COMMENT_PREFIX) for event in content.split(_EVENT_END)[:-1])


def _has_data(event: bytes) -> bool:
    """Tells whether an event has data; without any, a client does not see it."""
    return any(line.startswith(_DATA_FIELD) for line in event.split(b'\n'))


def _parse_media_type(fields: HeaderFields) -> bytes:
    """Returns the media type of a response in lower case, without parameters; empty for none."""
    return find_header(fields, b'content-type').partition(b';')[0].strip().lower()


def _parse_event_id(event: bytes) -> int | None:
    """Returns the id of an event, or None if it has none, or none of a number's form and length."""
    for line in event.split(b'\n'):
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        return int(text) if text.isdigit() and len(text) <= _MAXIMUM_ID_DIGITS else None
    return None
