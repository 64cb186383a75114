"""Runs calls of an entry instance on scripted connections, and ends them at any step.

A call runs in one task, which gives way at each of its awaits. `end_at_step` ends it at one of
these: walked over all steps of a call, it shows each state that the end of a call can meet.
"""

import random
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack, contextmanager

import attrs
import logbook
import trio
import trio.testing

from fireflymux._settings_generated import EntrySettings
from fireflymux.decisions.entry_configuration import (
    CallerLimits,
    Configuration,
    EngineCapacity,
    Repeatability,
    Route,
    Service,
    WeightedService,
    index_routes,
)
from fireflymux.decisions.membership import Endpoint
from fireflymux.decisions.prompts import PromptPart
from fireflymux.entry.entry_metrics import EntryMetrics
from fireflymux.entry.exchange import RequestHandler
from fireflymux.entry.state import EntryState
from fireflymux.http.byte_budget import ByteBudget, HeldBytes
from fireflymux.http.client_connection import ConnectFailed, ConnectionBroken
from fireflymux.http.messages import HeaderFields, Request, ResponseHead
from fireflymux.http.response_parser import IncomingResponse
from fireflymux.http.response_writer import ResponsePhase, ResponseWriter
from fireflymux.platform.call_headers import RequestMetadata, build_endpoint_response_headers

_HOST = 'models.example'
_SERVICE = 'engines'
_ATTEMPT = b'walked'
_ENDPOINTS = 2
_TIMEOUT_SECONDS = 30.0
#: Time in which whatever a call has started ends.
_SETTLING_SECONDS = 1.0
_UNUSED_ADDRESS = '127.0.0.1:1'
#: Connections that fill the shortest queue of a listening socket.
_QUEUED_CONNECTIONS = 4
_OK = 200
_FAILED = 500
_REFUSED = 503
_EVENT = b'data: piece\n\n'
_PARTS = (PromptPart(identifier=1, tokens=1000), PromptPart(identifier=2, tokens=9))


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


class _Connection:
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
        fields = build_endpoint_response_headers(_ATTEMPT, self._endpoint)
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


class _Pool:
    """Connections to one scripted endpoint; each attempt meets the next behaviour."""

    def __init__(self, walk: Walk, behaviours: list[str], endpoint: str) -> None:
        self.maximum_idle_connections = 0
        self._walk = walk
        self._behaviours = behaviours
        self._endpoint = endpoint

    async def take(self, identifier: bytes) -> _Connection:
        """Opens a connection, unless the endpoint accepts none."""
        await trio.lowlevel.checkpoint()
        behaviour = self._behaviours[0]
        if len(self._behaviours) > 1:
            self._behaviours.pop(0)
        if behaviour == 'accepts no connection':
            raise ConnectFailed(OSError('refused'))
        return _Connection(self._walk, behaviour, self._endpoint)

    def release_connection(self, connection: _Connection, idle_seconds: float | None) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""

    def close_stale(self) -> None:
        """Does nothing."""


class _RecordingWriter(ResponseWriter):
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


class _StepCounter(trio.abc.Instrument):
    """Counts the steps of a task, and calls a function after one of them."""

    def __init__(self, walk: Walk, task: trio.lowlevel.Task, step: int, act: Callable) -> None:
        self._walk = walk
        self._task = task
        self._step = step
        self._act = act

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Counts a step."""
        if task is not self._task:
            return
        self._walk.steps += 1
        if self._walk.steps == self._step:
            self._act()


def end_at_step(
    kind: Repeatability, behaviours: tuple[str, ...], cause: str, step: int, unreachable: int
) -> Walk:
    """Runs a call and ends it after a step of its task.

    Args:
        kind: Whether the request may run again.
        behaviours: What each attempt meets; the last one applies to all further ones.
        cause: Why it ends: 'the time of its route', 'a planned stop' or 'its caller leaving'.
        step: Number of the step; zero to let it end by itself.
        unreachable: Port at which connection attempts hang.

    Returns:
        What became of it.
    """
    walk = Walk()
    with logbook.TestHandler().applicationbound() as log:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_run_call, walk, kind, behaviours, cause, step, unreachable, clock=clock)
        for line in log.records:
            walk.logged = line.kwargs.get('ran', walk.logged)
    return walk


@contextmanager
def open_unreachable_port() -> Iterator[int]:
    """Opens a port whose queue of new connections is full, so that further attempts hang."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.create_server(('127.0.0.1', 0), backlog=0))
        address = listener.getsockname()
        for _ in range(_QUEUED_CONNECTIONS):
            queued = sockets.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(address)
        yield address[1]


async def _run_call(
    walk: Walk,
    kind: Repeatability,
    behaviours: tuple[str, ...],
    cause: str,
    step: int,
    unreachable: int,
) -> None:
    state = _build_state(walk, kind, behaviours, unreachable)
    handler = RequestHandler(state, EntryMetrics())
    scope = trio.CancelScope()

    def end() -> None:
        now = trio.current_time()
        if cause == 'a planned stop':
            handler.end_requests_at(now)
        elif cause == 'its caller leaving':
            scope.cancel()
        else:
            for call_scope in handler._scopes:
                call_scope.deadline = now

    async def run_handler() -> None:
        trio.lowlevel.add_instrument(_StepCounter(walk, trio.lowlevel.current_task(), step, end))
        with scope:
            await handler.handle_decoded(
                _build_request(), _build_metadata(), _RecordingWriter(walk)
            )

    with trio.fail_after(_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(handler.detached_tasks.run)
            started = trio.current_time()
            await run_handler()
            walk.seconds = trio.current_time() - started
            await trio.sleep(_SETTLING_SECONDS)
            counts = state.crashes.list_changed(float('-inf'))
            walk.crash_counts = sum(bool(count.endpoints) for count in counts)
            nursery.cancel_scope.cancel()


def _build_state(
    walk: Walk, kind: Repeatability, behaviours: tuple[str, ...], unreachable: int
) -> EntryState:
    remaining = list(behaviours)

    def open_pool(endpoint: Endpoint) -> _Pool:
        return _Pool(walk, remaining, endpoint.identifier)

    settings = EntrySettings(
        name='entry-1',
        failure_domain='a',
        caller_address=_UNUSED_ADDRESS,
        readiness_address=_UNUSED_ADDRESS,
        peer_host='127.0.0.1',
        peer_port=1,
        store_address=_UNUSED_ADDRESS,
    )
    state = EntryState(settings, random.Random(1), open_pool=open_pool)
    route = Route(
        name='walked',
        host=_HOST,
        prefix='/',
        services=(WeightedService(service=_SERVICE, weight=1.0),),
        repeatability=kind,
        timeout_seconds=_TIMEOUT_SECONDS,
        target_seconds=_TIMEOUT_SECONDS,
        maximum_endpoints=_ENDPOINTS,
        is_public=True,
    )
    engine = EngineCapacity(slots=8, cache_tokens=100000)
    configuration = Configuration(
        version=1,
        routes=index_routes([route]),
        services={_SERVICE: Service(name=_SERVICE, maximum_connections=0, engine=engine)},
        limits=CallerLimits(header_bytes=1, body_bytes=1, header_seconds=1.0, idle_seconds=1.0),
        accounts_by_key={},
        needs_keys=False,
    )
    state.apply_configuration(configuration, b'', 'test')
    for number in range(_ENDPOINTS):
        endpoint = Endpoint(
            identifier='e{0}'.format(number),
            service=_SERVICE,
            host='127.0.0.1',
            port=unreachable,
            failure_domain='a',
            slots=8,
            is_leaving=False,
            incarnation=1,
        )
        state.members.put(endpoint, 0.0)
    state.has_endpoint_list = True
    state.update_endpoints()
    return state


def _build_request() -> Request:
    return Request(
        method=b'POST',
        target=b'/a',
        fields=[(b'Host', _HOST.encode())],
        received_at=trio.current_time(),
    )


def _build_metadata() -> RequestMetadata:
    return RequestMetadata(
        attempt=_ATTEMPT,
        deadline_seconds=_TIMEOUT_SECONDS,
        key='',
        prompt_tokens=1009,
        output_tokens=5,
        parts=_PARTS,
        resume_after=-1,
    )
