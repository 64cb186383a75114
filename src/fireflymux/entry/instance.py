"""Runs an entry instance: builds its parts, serves requests, and shuts down gracefully.

To shut down, the instance first reports itself as not ready but still serves, until the balancer
has noticed. It then refuses new requests, and exits when those in progress have ended or its
shutdown timeout is nearly over.
"""

import random
import signal
from functools import partial

import orjson
import trio

from .._settings_generated import EntrySettings
from ..http.byte_budget import ByteBudget
from ..http.messages import HttpLimits, Request
from ..http.response_writer import ResponseWriter
from ..observability.logs import get_logger
from ..platform.readiness import READINESS_PATH
from ..platform.store import StoreClient
from ..settings import EntryProcessSettings
from .endpoint_wishes import count_requested_backoffs
from .entry_metrics import EntryMetrics
from .evacuating import update_evacuations
from .exchange import RequestHandler
from .instance_registry import InstanceRegistry
from .listeners import Listener
from .live_endpoint import open_pool
from .peer_link import PeerLink
from .peer_snapshot import PeerSnapshots
from .settings_reload import SettingsReloader
from .state import FOLLOWED_TABLES, EntryState
from .store_follower import StoreFollower
from .supervision import supervise

_log = get_logger(__name__)
#: If more time than this passes between two ticks, the process was paused.
_PROCESS_PAUSE_SECONDS = 0.5
#: Time until the balancer has noticed that the instance is not ready.
_BALANCER_NOTICE_SECONDS = 2.5
#: Time kept free for the exit, since the process is killed when the shutdown timeout ends.
_EXIT_MARGIN_SECONDS = 0.6
#: Time kept for the responses to the requests that are not done when the shutdown timeout ends.
_LAST_RESPONSES_SECONDS = 0.3
_POLL_SECONDS = 0.05
_TICK_SECONDS = 0.02
#: Time between two checks of the idle connections to endpoints.
_CONNECTION_CHECK_SECONDS = 1.0
#: Fraction of the file descriptors and of the memory that connections of callers may take.
_CALLER_CONNECTIONS_FRACTION = 0.5
#: Fraction of the memory that messages of callers may take, and as much those of endpoints.
_HELD_BYTES_FRACTION = 0.2
#: Memory that an open connection takes, with its tasks, parser and buffers.
_CONNECTION_BYTES = 32768
_MEGABYTE = 1048576
_OK = 200
_SERVICE_UNAVAILABLE = 503
_NOT_FOUND = 404


class EntryInstance:
    """One entry instance: its state, its listeners and its background tasks."""

    def __init__(self, settings: EntryProcessSettings, path: str = '') -> None:
        """Builds the instance; nothing runs yet.

        Args:
            settings: Settings of the process.
            path: File that they were read from, which is watched for changes; empty for none.
        """
        # As they were at the start; `self._state.settings` includes later reloads.
        self._settings = settings.entry
        limit_bytes = _HELD_BYTES_FRACTION * self._settings.maximum_memory_megabytes * _MEGABYTE
        # Apart, so that what callers send cannot take the room of what they are to get.
        self._endpoint_bytes = ByteBudget(limit_bytes)
        self._caller_bytes = ByteBudget(limit_bytes)
        self._state = EntryState(
            self._settings,
            random.Random(),
            open_pool=partial(open_pool, byte_budget=self._endpoint_bytes),
        )
        self._metrics = EntryMetrics()
        self._reloader = SettingsReloader(self._state, path)
        self._handler = RequestHandler(self._state, self._metrics)
        self._peers = PeerLink(self._state, self._metrics)
        store = StoreClient(
            self._settings.store_address,
            on_changes=self._state.table_ages.record_response,
        )
        self._registry = InstanceRegistry(self._state, store)
        self._store = StoreFollower(self._state, store, is_follower=self._peers.is_store_follower)
        self._snapshots = PeerSnapshots(self._state, self._peers)
        self._callers = Listener(
            self._settings.caller_address,
            self._handler.handle_request,
            limits=self._caller_limits,
            is_stopping=self._is_stopping,
            maximum_connections=_compute_maximum_connections(self._settings),
            byte_budget=self._caller_bytes,
        )
        # The class itself is passed as the function that returns limits, which are its defaults.
        readiness_listener = Listener(
            self._settings.readiness_address,
            self._handle_readiness,
            limits=HttpLimits,
            is_stopping=_never,
        )
        snapshot_listener = Listener(
            '{0}:{1}'.format(self._settings.peer_host, self._settings.peer_port),
            self._snapshots.handle_request,
            limits=HttpLimits,
            is_stopping=_never,
        )

        self._listeners = [self._callers, readiness_listener, snapshot_listener]
        if self._settings.metrics_address:
            metrics_listener = Listener(
                self._settings.metrics_address,
                self._handle_metrics,
                limits=HttpLimits,
                is_stopping=_never,
            )
            self._listeners.append(metrics_listener)
        self._background_tasks = (
            # These two supervise their own tasks: without its socket, the process must not run.
            self._peers.run,
            self._store.run,
            partial(supervise, self._registry.run, 'read instances'),
            partial(supervise, self._snapshots.run, 'fetch snapshots'),
            partial(supervise, self._handler.detached_tasks.run, 'detached tasks'),
            partial(supervise, self._tick, 'tick'),
            partial(supervise, self._close_stale_connections, 'close stale connections'),
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down; SIGHUP reloads the settings."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.serve)
                nursery.start_soon(supervise, self._reloader.watch, 'watch settings')
                while await anext(signals) == signal.SIGHUP:
                    self._reloader.reload()
                await self._stop()
                nursery.cancel_scope.cancel()
        _log.info('stopped', running=self._handler.running)

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens and runs the background tasks, until cancelled."""
        async with trio.open_nursery() as nursery:
            for listener in self._listeners:
                await nursery.start(listener.run)
            for task in self._background_tasks:
                nursery.start_soon(task)
            _log.info('started', caller_address=self._settings.caller_address)
            task_status.started()

    async def _stop(self) -> None:
        """Shuts down in the phases that the module describes."""
        started = trio.current_time()
        self._state.is_stopping = True
        _log.info('stopping', running=self._handler.running)
        deadline = started + self._state.settings.shutdown_timeout_seconds - _EXIT_MARGIN_SECONDS
        self._handler.end_requests_at(deadline - _LAST_RESPONSES_SECONDS)
        with trio.move_on_at(deadline):
            await self._registry.unregister()
            await trio.sleep_until(started + _BALANCER_NOTICE_SECONDS)
            self._state.refuses_requests = True
            self._callers.close_idle()
            while self._handler.running:
                await trio.sleep(_POLL_SECONDS)
            self._callers.close_idle()
            await trio.sleep(_POLL_SECONDS)

    async def _tick(self) -> None:
        """Detects pauses of the process, removes what expired, and places waiting requests."""
        state = self._state
        last_tick = trio.current_time()
        while True:
            await trio.sleep(_TICK_SECONDS)
            now = trio.current_time()
            if now - last_tick > _PROCESS_PAUSE_SECONDS:
                _log.warning('resumed_after_pause', seconds=round(now - last_tick, 3))
                # Endpoints may have closed or lost the idle connections during the pause.
                for live in state.list_endpoints():
                    live.pool.close()
            last_tick = now
            if state.members.expire(now):
                state.update_endpoints()
            if state.candidates.evacuations.expire(now):
                update_evacuations(state, 'restored copy')
            state.loads.expire(now)
            self._peers.forget_silent()
            self._handler.queues.dispatch()

    async def _close_stale_connections(self) -> None:
        """Closes idle connections to endpoints that cannot carry another request, regularly."""
        while True:
            await trio.sleep(_CONNECTION_CHECK_SECONDS)
            for live in self._state.list_endpoints():
                live.pool.close_stale()

    def _is_stopping(self) -> bool:
        return self._state.is_stopping

    def _caller_limits(self) -> HttpLimits:
        """Returns the limits of the active configuration; defaults before the first one."""
        configuration = self._state.configuration
        if configuration is None:
            return HttpLimits()
        limits = configuration.limits
        return HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )

    async def _handle_metrics(self, request: Request, writer: ResponseWriter) -> None:
        self._set_state_gauges()
        metrics = self._metrics
        metrics.instances_heard.set({}, self._peers.count_heard())
        metrics.connections.set({}, self._callers.count_open())
        metrics.running.set({}, self._handler.running)
        metrics.waiting.set({}, self._handler.queues.count_waiting())
        content, fields = metrics.render(('text/plain',))
        lines = [(name.encode(), text.encode()) for name, text in fields.items()]
        await writer.answer(_OK, lines, content)

    def _set_state_gauges(self) -> None:
        metrics = self._metrics
        state = self._state
        metrics.config_version.set({}, state.configuration_version)
        metrics.store_era.set({}, state.members_version.era)
        now = trio.current_time()
        for table in FOLLOWED_TABLES:
            metrics.table_age.set({'table': table}, state.table_ages.get_age(table, now))
        metrics.endpoints_known.set({}, len(state.members.list_endpoints()))
        metrics.endpoints_leaving.set({}, len(state.members.list_leaving()))
        for side, budget in (('endpoints', self._endpoint_bytes), ('callers', self._caller_bytes)):
            metrics.held_bytes.set({'side': side}, budget.held_bytes)
            metrics.held_bytes_limit.set({'side': side}, budget.limit_bytes)
            metrics.messages_given_up.set({'side': side}, budget.given_up)
        metrics.endpoints_resting.set({}, count_requested_backoffs(state))

    async def _handle_readiness(self, request: Request, writer: ResponseWriter) -> None:
        if request.path != READINESS_PATH:
            await writer.answer(_NOT_FOUND, (), b'')
            return
        status = _OK if self._state.is_ready else _SERVICE_UNAVAILABLE
        content = orjson.dumps({'configuration_version': self._state.configuration_version})
        await writer.answer(status, (), content)


def _compute_maximum_connections(settings: EntrySettings) -> int:
    """Returns the number of open connections from which on idle ones are closed.

    Connections of new callers are accepted even if none of the open ones is idle.
    """
    memory_bytes = _CALLER_CONNECTIONS_FRACTION * settings.maximum_memory_megabytes * _MEGABYTE
    descriptors = _CALLER_CONNECTIONS_FRACTION * settings.maximum_descriptors
    return int(min(descriptors, memory_bytes / _CONNECTION_BYTES))


def _never() -> bool:
    return False


async def run_entry(settings: EntryProcessSettings, path: str) -> None:
    """Runs an entry instance until a signal stops it.

    Args:
        settings: Settings of the process.
        path: File that they were read from, which is watched for changes.
    """
    await EntryInstance(settings, path).run()
