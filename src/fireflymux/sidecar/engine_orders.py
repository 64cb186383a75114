"""Orders the engine to load the announced model, from one sidecar at a time.

Each order carries a fencing token: the version of a table row that the sidecar writes before
the order. A sidecar that replaces another one therefore has the greater token, and an engine
that checks tokens rejects later orders from the old sidecar.

For an engine that does not check tokens, the sidecar must first bind a TCP port on the instance
that it shares with the engine. Here an instance is a machine; in the live list it is one process.
An old sidecar that is only paused still holds the port, so the new one sends no orders until the
old process has exited.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import httpx
import trio

from ..messages import EngineOrder, OrderRow
from ..observability.logs import get_logger
from ..store.platform_client import CommitResult, PlatformError, Put, TableClient
from ..wire import codec

_log = get_logger(__name__)
_POLL_INTERVAL_SECONDS = 0.2
_ORDER_TIMEOUT_SECONDS = 600.0
_HTTP_CONFLICT = 409


class PortLock:
    """Lock among the processes of one instance: a TCP port bound until the process exits."""

    def __init__(self, port: int) -> None:
        """Creates the lock without acquiring it.

        Args:
            port: TCP port on loopback; zero disables the lock, so that it is always acquired.
        """
        self._port = port
        self._socket: socket.socket | None = None

    def try_acquire(self) -> bool:
        """Binds the port unless this process has already done so.

        Returns:
            Whether this process holds the lock.
        """
        if self._port == 0 or self._socket is not None:
            return True
        candidate = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            candidate.bind(('127.0.0.1', self._port))
        except OSError:
            candidate.close()
            return False
        self._socket = candidate
        return True


@dataclass(frozen=True, slots=True)
class EngineTarget:
    """The engine that receives the orders, and their sender.

    Attributes:
        endpoint: Name of the engine in endpoint announcements.
        url: Base URL of the engine.
        sidecar_id: Incarnation of the sidecar, written into the row of the fencing token.
    """

    endpoint: str
    url: str
    sidecar_id: str


class ModelLoader:
    """Loads the model that the configuration announces for the engine."""

    def __init__(
        self,
        target: EngineTarget,
        *,
        table: TableClient,
        client: httpx.AsyncClient,
        lock: PortLock,
        desired_model: Callable[[], str],
        is_idle: Callable[[], bool],
    ) -> None:
        """Creates a loader that has not loaded a model yet.

        Args:
            target: The engine, and this sidecar as the sender of the orders.
            table: Table service with the row that provides the fencing tokens.
            client: HTTP client for the engine.
            lock: Lock to acquire before an order is sent.
            desired_model: Returns the announced model, or an empty string if there is none.
            is_idle: Tells whether no request is running on the engine.
        """
        self._target = target
        self._table = table
        self._client = client
        self._lock = lock
        self._desired_model = desired_model
        self._is_idle = is_idle
        self._loaded_model = ''

    @property
    def is_load_pending(self) -> bool:
        """Whether the announced model must be loaded before new requests are admitted."""
        desired = self._desired_model()
        return bool(desired) and desired != self._loaded_model

    async def run(self) -> None:
        """Loads each newly announced model once the engine is idle, until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_SECONDS)
            if not self.is_load_pending or not self._is_idle():
                continue
            model = self._desired_model()
            if await self._load(model):
                self._loaded_model = model
                _log.info('model_loaded', model=model)

    async def _load(self, model: str) -> bool:
        if not self._lock.try_acquire():
            return False
        try:
            token = await self._acquire_token()
        except PlatformError as error:
            _log.debug('no_fencing_token', reason=str(error))
            return False
        return token is not None and await self._send_order(model, token)

    async def _acquire_token(self) -> int | None:
        """Returns a token greater than all earlier ones, or None if the write was overtaken."""
        key = 'orders/{0}'.format(self._target.endpoint)
        row = await self._table.read(key)
        new_row = codec.to_builtins(OrderRow(holder=self._target.sidecar_id))
        commit = await self._table.commit([Put(key, row.version, new_row)])
        return row.version + 1 if commit.result is CommitResult.committed else None

    async def _send_order(self, model: str, token: int) -> bool:
        order = EngineOrder(model=model, fencing_token=token)
        try:
            response = await self._client.post(
                '{0}/v1/orders'.format(self._target.url.rstrip('/')),
                content=codec.encode(order),
                headers={'Content-Type': 'application/json'},
                timeout=_ORDER_TIMEOUT_SECONDS,
            )
        except httpx.HTTPError as error:
            _log.warning('order_failed', model=model, reason=repr(error))
            return False
        if response.status_code == _HTTP_CONFLICT:
            _log.warning('order_fenced_off', model=model, token=token)
        return response.is_success
