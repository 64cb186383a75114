"""Runs calls of an entry instance on scripted connections, and ends them at any step.

A call runs in one task, which gives way at each of its awaits. `end_at_step` ends it at one of
these: walked over all steps of a call, it shows each state that the end of a call can meet.
"""

import random
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

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
from fireflymux.http.messages import Request
from fireflymux.platform.call_headers import RequestMetadata

from .scripted_connections import ATTEMPT, RecordingWriter, ScriptedPool, Walk

_HOST = 'models.example'
_SERVICE = 'engines'
_ENDPOINTS = 2
_TIMEOUT_SECONDS = 30.0
#: Time in which whatever a call has started ends.
_SETTLING_SECONDS = 1.0
_UNUSED_ADDRESS = '127.0.0.1:1'
#: Connections that fill the shortest queue of a listening socket.
_QUEUED_CONNECTIONS = 4
_PARTS = (PromptPart(identifier=1, tokens=1000), PromptPart(identifier=2, tokens=9))


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
                _build_request(), _build_metadata(), RecordingWriter(walk)
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

    def open_pool(endpoint: Endpoint) -> ScriptedPool:
        return ScriptedPool(walk, remaining, endpoint.identifier)

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
        attempt=ATTEMPT,
        deadline_seconds=_TIMEOUT_SECONDS,
        key='',
        prompt_tokens=1009,
        output_tokens=5,
        parts=_PARTS,
        resume_after=-1,
    )
