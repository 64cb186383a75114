"""Registers an entry instance in the store, and reads the addresses of the others there."""

import trio

from ..bounded_values import is_ipv4_address
from ..observability.logs import get_logger
from ..platform.store import StoreClient
from ..platform.store_rows import StoreUnavailable
from .state import EntryState

_log = get_logger(__name__)
#: Table in which entry instances register their IP addresses.
INSTANCE_TABLE = 'fireflymux-instances'
#: Time between two reads of the table; new instances become known earlier by reports.
_INTERVAL_SECONDS = 30.0
_RETRY_SECONDS = 0.5


class InstanceRegistry:
    """This instance's row in the table of instances, and the rows of the others."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        """Prepares to register.

        Args:
            state: State that gets the addresses of the other instances.
            store: Client of the store.
        """
        self._state = state
        self._store = store

    async def run(self) -> None:
        """Registers this instance in the table, and reads the other rows regularly.

        If two instances start together, the one that registers last reads the row of the other.
        The other one learns of it when its reports arrive.
        """
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self._register()
                names = await self._read_instances()
            except StoreUnavailable as error:
                _log.warning('instances_not_read', reason=str(error))
                await trio.sleep(_RETRY_SECONDS)
                continue
            is_registered = self._state.settings.name in names
            if not is_registered:
                # The row was written, but the store does not list it (yet).
                await trio.sleep(_RETRY_SECONDS)
                continue
            with trio.move_on_after(_INTERVAL_SECONDS):
                await self._store.wait_for_new_era()
                # The store was restored from an older copy, which may lack this instance's row.
                is_registered = False

    async def unregister(self) -> None:
        """Removes this instance from the table of instances."""
        try:
            await self._store.remove_row(INSTANCE_TABLE, self._state.settings.name)
        except StoreUnavailable as error:
            _log.warning('unregister_failed', reason=str(error))

    async def _register(self) -> None:
        settings = self._state.settings
        await self._store.put_row(INSTANCE_TABLE, settings.name, self._state.host.encode())

    async def _read_instances(self) -> set[str]:
        rows = (await self._store.read_table(INSTANCE_TABLE)).rows
        hosts = {row.key: (row.content or b'').decode('latin-1') for row in rows}
        for name, host in hosts.items():
            if not is_ipv4_address(host):
                _log.warning('instance_malformed', peer=name, host=host)
            elif name != self._state.settings.name:
                self._state.instances[name] = host
        return set(hosts)
