"""Holds back the incomplete event at the end of a stream.

A stream that breaks off ends with an event that says so. Behind a part of another event, it would be
read as the rest of that one.
"""

_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
#: Longest part of an event that is held back; a longer one is passed on as it arrives.
_MAXIMUM_HELD_BYTES = 1048576


class EventBuffer:
    """The part of a stream that was received and not passed on yet.

    Attributes:
        partial: Bytes behind the end of the last complete event.
    """

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self.partial = b''

    def add(self, received: bytes) -> bytes:
        """Adds bytes of the stream.

        Args:
            received: The bytes that follow those of the call before.

        Returns:
            What can be passed on: the events that are complete.
        """
        content = self.partial + received
        end = _find_end_of_events(content)
        if len(content) - end > _MAXIMUM_HELD_BYTES:
            end = len(content)
        self.partial = content[end:]
        return content[:end]


def _find_end_of_events(content: bytes) -> int:
    """Returns the position behind the last event that is complete; zero if none is."""
    found = [(content.rfind(mark), len(mark)) for mark in _EVENT_ENDS]
    return max((start + length for start, length in found if start >= 0), default=0)
