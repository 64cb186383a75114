"""Keeps the configuration replica of a process current.

A router reads the head from the table service; a sidecar asks routers first, so that the
table is read by few. Whoever cannot reach the platform asks the routers. A version counts as
confirmed from the time at which the question was sent, so that an answer that was received
before a pause confirms nothing after it.
"""

from collections.abc import Awaitable, Callable, Iterable

import httpx
import trio

from ..messages import ConfigUpdate
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..web.links import LinkClients
from ..wire import codec
from .config_commit import load_configuration
from .configuration import Configuration
from .platform_client import PlatformClients, PlatformError

_log = get_logger(__name__)
#: Age above which a router's configuration does not confirm that of another process.
_MAXIMUM_ROUTER_AGE_SECONDS = 3.0
_NEVER = float('-inf')

#: Returns the URLs of routers to ask, most wanted first.
RouterSource = Callable[[], Iterable[str]]


class ConfigReader:
    """Reads configuration versions and remembers when the newest one was confirmed."""

    def __init__(
        self,
        configuration: Configuration,
        *,
        platform: PlatformClients,
        links: LinkClients,
        routers: RouterSource,
        metrics: Metrics,
    ) -> None:
        """Uses the clients of the process.

        Args:
            configuration: The replica to keep current.
            platform: Clients of the platform.
            links: Clients for other processes.
            routers: Routers to ask.
            metrics: Metrics of the process.
        """
        self._configuration = configuration
        self._platform = platform
        self._links = links
        self._routers = routers
        self._metrics = metrics
        self._matched_platform_at = _NEVER
        self._confirmed_at = _NEVER
        self._read_requested = trio.Event()
        self._preferred_router = ''

    @property
    def age_seconds(self) -> float:
        """Time since the configuration was last known to be the platform's newest."""
        return trio.current_time() - self._matched_platform_at

    @property
    def confirmed_seconds_ago(self) -> float:
        """Time since the configuration was compared with the newest that can be reached."""
        return trio.current_time() - self._confirmed_at

    async def run(
        self,
        interval_seconds: float,
        *,
        read: Callable[[], Awaitable[None]],
    ) -> None:
        """Reads until cancelled.

        Args:
            interval_seconds: Time between two reads.
            read: `read_platform_first` or `read_routers_first`.
        """
        while True:
            previous_version = self._configuration.version
            await read()
            if self._configuration.version != previous_version:
                self._metrics.config_version.set({}, self._configuration.version)
                _log.info('config_applied', version=self._configuration.version)
            with trio.move_on_after(interval_seconds):
                await self._read_requested.wait()
            self._read_requested = trio.Event()

    def read_soon(self, address: str) -> None:
        """Ends the wait for the next read, since a router has a newer version.

        Args:
            address: URL of that router; it is asked first.
        """
        self._preferred_router = address
        self._read_requested.set()

    async def read_platform_first(self) -> None:
        """Reads from the platform, or from routers if it does not answer."""
        if await self._read_platform():
            return
        await self._read_routers()

    async def read_routers_first(self) -> None:
        """Asks routers, or the platform if no router's configuration is fresh."""
        if await self._read_routers():
            return
        await self._read_platform()

    async def _read_platform(self) -> bool:
        requested_at = trio.current_time()
        try:
            await load_configuration(
                self._platform.table, self._platform.objects, self._configuration
            )
        except (PlatformError, codec.DecodeError):
            return False
        self._matched_platform_at = requested_at
        self._confirmed_at = requested_at
        return True

    async def _read_routers(self) -> bool:
        for address in self._list_routers():
            requested_at = trio.current_time()
            update = await self._fetch_update(address)
            if update is None:
                continue
            self._apply(update)
            # Routers that cannot read the platform either still hold the newest known.
            self._confirmed_at = requested_at
            if update.age_seconds < _MAXIMUM_ROUTER_AGE_SECONDS:
                self._matched_platform_at = max(
                    self._matched_platform_at, requested_at - update.age_seconds
                )
                return True
        return False

    def _list_routers(self) -> list[str]:
        addresses = list(self._routers())
        preferred = self._preferred_router
        self._preferred_router = ''
        return [preferred, *addresses] if preferred else addresses

    async def _fetch_update(self, address: str) -> ConfigUpdate | None:
        url = '{0}/v1/config?after={1}'.format(address, self._configuration.version)
        try:
            response = await self._links.to(address).get(url, timeout=1)
            if not response.is_success:
                return None
            return codec.decode(response.content, ConfigUpdate)
        except (httpx.HTTPError, codec.DecodeError):
            return None

    def _apply(self, update: ConfigUpdate) -> None:
        if update.snapshot is not None:
            self._configuration.replace(update.snapshot)
        self._configuration.apply(update.changes)


def build_update(
    configuration: Configuration,
    *,
    after: int,
    age_seconds: float,
) -> ConfigUpdate:
    """Builds the answer to a process that asks for the configuration.

    Args:
        configuration: Replica of this router.
        after: Version of the asking process.
        age_seconds: Time since this router read the platform.

    Returns:
        The changes it lacks, or a snapshot.
    """
    changes = configuration.changes_after(after)
    snapshot = configuration.to_snapshot() if changes is None else None
    return ConfigUpdate(
        version=configuration.version,
        age_seconds=min(age_seconds, 1e9),
        changes=changes or [],
        snapshot=snapshot,
    )
