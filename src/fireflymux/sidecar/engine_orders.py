"""Orders to an engine: one holder at a time, told apart by fencing tokens.

The token is the version of a table row that the sidecar writes before each order, so a newer
holder always has a greater one. An engine that checks tokens refuses the older holder. For
one that does not, the sidecar must hold a TCP port on the instance that it shares with its
engine: a paused predecessor still holds the port, so its successor sends nothing until it is
gone.
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
    """Exclusive hold of a TCP port on loopback, kept until the process ends."""

    def __init__(self, port: int) -> None:
        """Prepares the lock.

        Args:
            port: The port; zero stands for a lock that nobody competes for.
        """
        self._port = port
        self._socket: socket.socket | None = None

    def try_acquire(self) -> bool:
        """Tries to take the port.

        Returns:
            Whether this process holds it.
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
    """The engine that a sidecar drives.

    Attributes:
        endpoint: Its name in announcements.
        url: Its URL.
        holder: Incarnation of the sidecar.
    """

    endpoint: str
    url: str
    holder: str


class ModelLoader:
    """Brings the engine to the announced model."""

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
        """Starts without an order.

        Args:
            target: The engine.
            table: Table that holds the fencing tokens.
            client: Client for the endpoint.
            lock: Lock on the engine's instance.
            desired_model: Returns the announced model; empty for none.
            is_idle: Tells whether no request runs on the engine.
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
        """Whether an order must be carried out before new work."""
        desired = self._desired_model()
        return bool(desired) and desired != self._loaded_model

    async def run(self) -> None:
        """Carries out orders until cancelled."""
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
        key = 'orders/{0}'.format(self._target.endpoint)
        row = await self._table.read(key)
        new_row = codec.to_plain(OrderRow(holder=self._target.holder))
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
