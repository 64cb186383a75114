"""Keeps the configuration replica of a process up to date.

Routers read the configuration from the platform and fall back to other routers. Sidecars ask
routers first and fall back to the platform, which keeps the number of readers of the table
small.

A reader keeps two times. `age_seconds` counts from the last time at which the replica was known
to match the platform, directly or as a router states it. `confirmed_seconds_ago` counts from the
last update from the platform or any router, also one that cannot reach the platform. Both count
from the time at which the request was sent, not from that of the response: a response that a
paused process handles late does not look recent.
"""

from collections.abc import Awaitable, Callable, Iterable

import httpx
import trio

from ..messages import ConfigUpdate
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..web.http_clients import FleetClients
from ..wire import codec
from .config_commit import load_configuration
from .configuration import Configuration
from .contract_terms import limit_change, limit_snapshot
from .platform_client import PlatformClients, PlatformError

_log = get_logger(__name__)
#: With a configuration of a router that matched the platform less than this time ago, neither
#: further routers nor the platform are asked.
_MAXIMUM_AGE_FROM_ROUTER_SECONDS = 3.0
_NEVER = float('-inf')

#: Function that returns the base URLs of the routers to ask, in order of preference.
RouterSource = Callable[[], Iterable[str]]


class ConfigReader:
    """Updates a configuration replica and records when it was last known to be current.

    A read fetches what is newer than the replica and applies it.
    """

    def __init__(
        self,
        configuration: Configuration,
        *,
        platform: PlatformClients,
        fleet_clients: FleetClients,
        routers: RouterSource,
        metrics: Metrics,
    ) -> None:
        """Creates a reader that uses the clients of the process.

        Args:
            configuration: The replica to update.
            platform: Clients of the platform.
            fleet_clients: HTTP clients for other processes.
            routers: Function that returns the base URLs of the routers to ask.
            metrics: Metrics of the process.
        """
        self._configuration = configuration
        self._platform = platform
        self._fleet_clients = fleet_clients
        self._routers = routers
        self._metrics = metrics
        self._matched_platform_at = _NEVER
        self._confirmed_at = _NEVER
        self._read_requested = trio.Event()
        self._preferred_router = ''

    @property
    def age_seconds(self) -> float:
        """Time since the replica was last known to match the platform's newest version.

        A read of the platform that ends early because a change is missing (see
        `load_configuration`) counts as a match, too.
        """
        return trio.current_time() - self._matched_platform_at

    @property
    def confirmed_seconds_ago(self) -> float:
        """Time since the replica was last updated from the platform or any router.

        It can be less than `age_seconds`: while the platform is down, an update from a router
        counts here, but its version is only as recent as the router's.
        """
        return trio.current_time() - self._confirmed_at

    async def run(
        self,
        interval_seconds: float,
        *,
        read: Callable[[], Awaitable[None]],
    ) -> None:
        """Updates the replica periodically until cancelled.

        Args:
            interval_seconds: Time between two updates.
            read: Performs one update; `read_platform_first` or `read_routers_first`.
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

    def request_read(self, address: str) -> None:
        """Starts the next update at once, because a router has a newer version.

        Args:
            address: Base URL of that router; the next update that asks routers asks it first.
        """
        self._preferred_router = address
        self._read_requested.set()

    async def read_platform_first(self) -> None:
        """Updates from the platform, or from routers if that fails."""
        if await self._read_platform():
            return
        await self._read_routers()

    async def read_routers_first(self) -> None:
        """Updates from routers, or from the platform if no router has a recent configuration."""
        if await self._read_routers():
            return
        await self._read_platform()

    async def _read_platform(self) -> bool:
        requested_at = trio.current_time()
        try:
            await load_configuration(
                self._platform.table, self._platform.objects, self._configuration
            )
        except (PlatformError, codec.DecodeError) as error:
            _log.warning('config_not_read', reason=str(error))
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
            # Counts even if the router cannot reach the platform: its version is then the
            # newest one available.
            self._confirmed_at = requested_at
            if 0 <= update.age_seconds < _MAXIMUM_AGE_FROM_ROUTER_SECONDS:
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
            response = await self._fleet_clients.to(address).get(url, timeout=1)
            if not response.is_success:
                return None
            return codec.decode(response.content, ConfigUpdate)
        except (httpx.HTTPError, codec.DecodeError):
            return None

    def _apply(self, update: ConfigUpdate) -> None:
        if update.snapshot is not None:
            self._configuration.replace(limit_snapshot(update.snapshot))
        self._configuration.apply(map(limit_change, update.changes))


def build_update(
    configuration: Configuration,
    *,
    after: int,
    age_seconds: float,
) -> ConfigUpdate:
    """Builds the response to a process that asks a router for configuration updates.

    Args:
        configuration: Replica of the router.
        after: Version that the requesting process has.
        age_seconds: Time since the router's replica matched the platform's newest version.

    Returns:
        The changes since that version, or a snapshot if the router no longer has them all.
    """
    changes = configuration.changes_after(after)
    snapshot = configuration.to_snapshot() if changes is None else None
    return ConfigUpdate(
        version=configuration.version,
        # Before the first read the age is infinite, which JSON cannot represent.
        age_seconds=min(age_seconds, 1e9),
        changes=changes or [],
        snapshot=snapshot,
    )
