"""Passes the events of a stream on to its caller, whole and in order."""

from ..http.answer_writer import AnswerWriter
from ..http.messages import Fields

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_COMMENT_PREFIX = b':'
#: Largest event; a longer one is taken for bytes without an end.
_MAXIMUM_EVENT_BYTES = 1048576


class EventTooLarge(Exception):
    """An event has no end within the bound on its size."""


class EventRelay:
    """One answer made of events, which may come from several endpoints in turn.

    Attributes:
        last_event: Number of the last event passed on; -1 before the first one.
        is_begun: Whether the caller received the head of the answer.
        passed: Pieces passed on that held an event.
    """

    def __init__(self, writer: AnswerWriter, *, resume_after: int, numbered: bool) -> None:
        """Starts before the first event.

        Args:
            writer: Writes the caller's answer.
            resume_after: Number of the last event that the caller has; -1 for none.
            numbered: Whether the numbers of events are read, so that the answer can resume.
        """
        self.last_event = resume_after
        self.is_begun = False
        self.forwarded_pieces = 0
        self._writer = writer
        self._numbered = numbered
        self._partial = b''

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is held back."""
        return not self._partial

    def restart(self) -> None:
        """Forgets the part of an event that a broken attempt left."""
        self._partial = b''

    async def pass_on(self, received: bytes, status: int, fields: Fields) -> None:
        """Takes bytes of the endpoint's answer and sends the events that are whole.

        Args:
            received: The bytes, in order.
            status: Status of the answer.
            fields: Field lines of the answer for the caller.

        Raises:
            EventTooLarge: The bytes after the last whole event exceed the bound on one.
        """
        content = self._partial + received
        end = content.rfind(_EVENT_END)
        if len(content) - max(end, 0) > _MAXIMUM_EVENT_BYTES:
            raise EventTooLarge('{0} bytes without the end of an event'.format(len(content)))
        if end < 0:
            self._partial = content
            return
        whole = content[: end + len(_EVENT_END)]
        self._partial = content[len(whole) :]
        if self._numbered:
            whole = self._drop_repeated(whole)
        await self._send(whole, status, fields)

    async def end(self, status: int, fields: Fields) -> None:
        """Sends what is left and the end of the answer."""
        rest = self._partial
        self._partial = b''
        if not self.is_begun:
            self.is_begun = True
            await self._writer.start(status, fields, rest)
        elif rest:
            await self._writer.send_chunk(rest)
        await self._writer.end()

    async def _send(self, content: bytes, status: int, fields: Fields) -> None:
        if not content:
            return
        self.forwarded_pieces += _contains_event(content)
        if self.is_begun:
            await self._writer.send_chunk(content)
            return
        self.is_begun = True
        await self._writer.start(status, fields, content)

    def _drop_repeated(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            number = _parse_event_id(event)
            if number is not None:
                if number <= self.last_event:
                    continue
                self.last_event = number
            kept.append(event + _EVENT_END)
        return b''.join(kept)


def _contains_event(content: bytes) -> bool:
    """Tells whether bytes hold an event, not only comments that keep a connection open."""
    if not content.startswith(_COMMENT_PREFIX):
        return True
    return any(not event.startswith(_COMMENT_PREFIX) for event in content.split(_EVENT_END)[:-1])


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
