"""Outcomes of one attempt of a request on one endpoint."""

from dataclasses import dataclass

from ..http.messages import HeaderFields

_FIRST_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent to the endpoint, which therefore knows nothing of it.

    Attributes:
        reason: Why it was not sent, for the log.
        is_local: Whether this is not recorded as a failed connection of the endpoint: this process
            had no file descriptor or memory left to connect, or the endpoint was leaving,
            evacuated, warming up or in a backoff that it requested when the connection was ready.
    """

    reason: str
    is_local: bool = False


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller closed its connection before the request was sent."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The endpoint stated that it did not execute the request.

    A `CallFailure`, in contrast, is an error that the system reports to the caller.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent but no complete response came, so that it may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Oversized:
    """The endpoint sent more than a response may have, without completing one; it may have run.

    Attributes:
        shape: What it sent.
        size: Bytes that were received or stated, about.
    """

    shape: str
    size: int


@dataclass(frozen=True, slots=True)
class NotResumed:
    """The caller has a part of the stream, and the response of the endpoint does not continue it.

    The endpoint may have run the request. Nothing of its response can be forwarded.

    Attributes:
        reason: What kind of response it is, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete response, which is read to its end before any of it is sent to the caller.

    It is the outcome only while nothing of another response was sent to the caller.
    """

    status: int
    fields: HeaderFields
    content: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= _FIRST_SERVER_ERROR_STATUS

    def __str__(self) -> str:
        """Describes the response for the log, without its content."""
        return 'Whole(status={0}, bytes={1})'.format(self.status, len(self.content))


@dataclass(frozen=True, slots=True)
class Relayed:
    """A stream was forwarded to the caller up to its end."""


Outcome = NotSent | Abandoned | Rejected | Broken | Oversized | NotResumed | Whole | Relayed
