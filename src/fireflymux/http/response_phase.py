"""How much of a response was sent, and writes that do not fit that."""

import enum


class ResponsePhase(enum.Enum):
    """How much of the current response was sent."""

    #: Nothing: its head can be sent.
    pending = 'pending'
    #: The head, and chunks of the body.
    body = 'body'
    #: All of it, or no request was received yet.
    complete = 'complete'
    #: A part, and no more of it can follow: the connection has to be closed.
    broken = 'broken'


class ResponseStateError(Exception):
    """A write does not fit the phase of the response; nothing was sent."""
