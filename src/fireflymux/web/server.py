"""Serves a Quart application with Hypercorn and shuts it down gracefully."""

import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from urllib.parse import urlsplit

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from .._settings_generated import InstanceSettings, TlsSettings

_KEEP_ALIVE_TIMEOUT_SECONDS = 120
_LISTEN_BACKLOG = 1024


def _build_config(
    instance: InstanceSettings,
    tls: TlsSettings,
    *,
    maximum_header_bytes: int,
) -> Config:
    config = Config()
    config.bind = ['{0}:{1}'.format(instance.listen_host, instance.listen_port)]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_SECONDS
    config.backlog = _LISTEN_BACKLOG
    config.include_date_header = False
    config.include_server_header = False
    config.graceful_timeout = 1
    config.h11_max_incomplete_size = maximum_header_bytes
    if tls.certificate_file:
        config.certfile = tls.certificate_file
        config.keyfile = tls.key_file
    return config


class Server:
    """The HTTP server of one process."""

    def __init__(
        self,
        app: QuartTrio,
        instance: InstanceSettings,
        tls: TlsSettings,
        *,
        maximum_header_bytes: int,
    ) -> None:
        """Configures the server; `start` makes it listen.

        Args:
            app: Application to serve.
            instance: Section [instance] of the settings.
            tls: Section [tls] of the settings.
            maximum_header_bytes: Size of the header block above which Hypercorn itself rejects
                a request.
        """
        self._app = app
        self._instance = instance
        self._tls = tls
        self._config = _build_config(instance, tls, maximum_header_bytes=maximum_header_bytes)
        self._stop_requested = trio.Event()

    async def start(self, nursery: trio.Nursery) -> str:
        """Starts to accept connections.

        Args:
            nursery: Nursery that the server runs in.

        Returns:
            URL at which other processes reach this one.
        """
        bound = await nursery.start(self._serve)
        host = self._instance.advertised_host or self._instance.listen_host
        scheme = 'https' if self._tls.certificate_file else 'http'
        return '{0}://{1}:{2}'.format(scheme, host, urlsplit(bound[0]).port)

    def stop(self) -> None:
        """Makes the server shut down."""
        self._stop_requested.set()

    async def _serve(
        self, *, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve(
            self._app,
            self._config,
            shutdown_trigger=self._stop_requested.wait,
            task_status=task_status,
        )


@contextmanager
def catch_stop_signals() -> Iterator[Callable[[], Awaitable[object]]]:
    """Catches SIGTERM and SIGINT inside the block.

    A signal that arrives before the returned function is called is kept for that call.

    Yields:
        A function that waits for the next signal.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        yield signals.__anext__


async def drain(
    is_idle: Callable[[], bool],
    *,
    timeout_seconds: float,
    prepare: Callable[[], Awaitable[None]] | None = None,
) -> bool:
    """Waits until the process has no more work.

    Args:
        is_idle: Returns whether no work is left.
        timeout_seconds: Maximum wait.
        prepare: Awaited before the wait, for example to notify other processes.

    Returns:
        Whether the process became idle in time.
    """
    if prepare is not None:
        await prepare()
    with trio.move_on_after(timeout_seconds):
        while not is_idle():
            await trio.sleep(0.05)
    return is_idle()
