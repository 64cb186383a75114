"""Scripted connections to endpoints, whose every step is an await, and what becomes of a call."""

from collections.abc import Callable, Iterable

import attrs
import trio

from fireflymux.http.byte_budget import ByteBudget, HeldBytes
from fireflymux.http.client_connection import ConnectFailed, ConnectionBroken
from fireflymux.http.messages import HeaderFields, ResponseHead
from fireflymux.http.response_parser import IncomingResponse
from fireflymux.http.response_writer import ResponsePhase, ResponseWriter
from fireflymux.platform.call_headers import build_endpoint_response_headers

#: Identifier of the request.
ATTEMPT = b'walked'
_OK = 200
_FAILED = 500
_REFUSED = 503
_EVENT = b'data: piece\n\n'


@attrs.define
class Walk:
    """One call, and what became of it.

    Attributes:
        sends: Number of times that sending it began.
        runs: Number of times that an endpoint ran it.
        status: Status that its caller got; zero for none.
        logged: What the log says whether it ran; empty if it says nothing.
        steps: Number of steps that its task took.
        seconds: Time that it took, on a clock that moves only while all tasks wait.
        crash_counts: Number of requests and prompt parts of which a crash is counted afterwards.
    """

    sends: int = 0
    runs: int = 0
    status: int = 0
    logged: str = ''
    steps: int = 0
    seconds: float = 0.0
    crash_counts: int = 0


class ScriptedConnection:
    """A connection to an endpoint whose behaviour is scripted, one await at a time."""

    has_earlier_requests = False

    def __init__(self, walk: Walk, behaviour: str, endpoint: str) -> None:
        self._walk = walk
        self._behaviour = behaviour
        self._endpoint = endpoint
        self._parts = [_EVENT, _EVENT]

    def close(self) -> None:
        """Does nothing."""

    def drop(self, response: IncomingResponse) -> None:
        """Does nothing."""

    def hold(self, give_up: Callable[[], None]) -> HeldBytes:
        """Returns an account without a bound, since no bytes are received."""
        return ByteBudget().open('', give_up)

    def keep(self, size: int) -> None:
        """Does nothing, since no bytes are received."""

    async def send(self, start_line: bytes, fields: HeaderFields, content: bytes) -> None:
        """Sends the request; the endpoint runs it once all of it has arrived."""
        self._walk.sends += 1
        await trio.lowlevel.checkpoint()
        if self._behaviour != 'rejects it':
            self._walk.runs += 1
        await trio.lowlevel.checkpoint()
        self._fail_if('errs while it is sent to')

    async def next_response(self) -> IncomingResponse:
        """Returns the head of the response."""
        await trio.lowlevel.checkpoint()
        self._fail_if('errs while it answers')
        if self._behaviour == 'breaks off':
            raise ConnectionBroken('reset')
        fields = build_endpoint_response_headers(ATTEMPT, self._endpoint)
        status = _OK
        if self._behaviour == 'rejects it':
            status = _REFUSED
            fields = [fields[0], (b'X-Not-Executed', b'1')]
        elif self._behaviour == 'fails':
            status = _FAILED
        return IncomingResponse(ResponseHead(status=status, fields=fields))

    async def next_body_part(self, response: IncomingResponse) -> bytes:
        """Returns the next event, or breaks off behind the first."""
        await trio.lowlevel.checkpoint()
        if self._behaviour == 'breaks off within its answer' and len(self._parts) == 1:
            raise ConnectionBroken('reset')
        return self._parts.pop() if self._parts else b''

    async def read_full_body(self, response: IncomingResponse, maximum_bytes: int) -> bytes:
        """Returns an empty body, or breaks off."""
        await trio.lowlevel.checkpoint()
        if self._behaviour == 'breaks off within its answer':
            raise ConnectionBroken('reset')
        return b''

    def _fail_if(self, behaviour: str) -> None:
        if self._behaviour == behaviour:
            raise RuntimeError('odd')


class ScriptedPool:
    """Connections to one scripted endpoint; each attempt meets the next behaviour."""

    def __init__(self, walk: Walk, behaviours: list[str], endpoint: str) -> None:
        self.maximum_idle_connections = 0
        self._walk = walk
        self._behaviours = behaviours
        self._endpoint = endpoint

    async def take(self, identifier: bytes) -> ScriptedConnection:
        """Opens a connection, unless the endpoint accepts none."""
        await trio.lowlevel.checkpoint()
        behaviour = self._behaviours[0]
        if len(self._behaviours) > 1:
            self._behaviours.pop(0)
        if behaviour == 'accepts no connection':
            raise ConnectFailed(OSError('refused'))
        return ScriptedConnection(self._walk, behaviour, self._endpoint)

    def release_connection(
        self, connection: ScriptedConnection, idle_seconds: float | None
    ) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""

    def close_stale(self) -> None:
        """Does nothing."""


class RecordingWriter(ResponseWriter):
    """Records the status of a response instead of sending it."""

    def __init__(self, walk: Walk) -> None:
        self.must_close = False
        self._walk = walk
        self._phase = ResponsePhase.pending

    def has_caller_disconnected(self) -> bool:
        """Returns False."""
        return False

    async def answer(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], content: bytes
    ) -> None:
        """Records a response."""
        await trio.lowlevel.checkpoint()
        self._phase = ResponsePhase.complete
        self._walk.status = status

    async def start(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], first_part: bytes
    ) -> None:
        """Records the start of a streamed response."""
        await trio.lowlevel.checkpoint()
        self._phase = ResponsePhase.body
        self._walk.status = status

    async def send_chunk(self, content: bytes) -> None:
        """Takes a further event."""
        await trio.lowlevel.checkpoint()

    async def end(self) -> None:
        """Records that the response is complete."""
        await trio.lowlevel.checkpoint()
        self._phase = ResponsePhase.complete
