"""Applies changes of the settings file while the process runs."""

from pathlib import Path

import attrs
import trio

from ..observability.logs import get_logger
from ..settings import EntryProcessSettings, SettingsError
from .state import EntryState

_log = get_logger(__name__)
_POLL_SECONDS = 2.0
#: Settings that can change while the process runs; changes of the others need a restart.
_RELOADABLE_SETTINGS = frozenset(('seeds', 'shutdown_timeout_seconds'))


class SettingsReloader:
    """Reloads the settings file on request, or when its modification time or size has changed."""

    def __init__(self, state: EntryState, path: str) -> None:
        """Notes the current modification time and size of the file.

        Args:
            state: State of the instance, which holds its settings.
            path: The settings file; empty for none.
        """
        self._state = state
        self._path = path
        self._file_stamp = self._read_stamp()

    def reload(self) -> None:
        """Reads the file and applies the settings that can change.

        If the file is invalid or cannot be read, or if there is none, an error is logged and
        nothing changes.
        """
        self._file_stamp = self._read_stamp()
        try:
            loaded = EntryProcessSettings.from_file(self._path).entry
        except SettingsError as error:
            _log.error('settings_invalid', reason=str(error))
            return
        current = attrs.asdict(self._state.settings)
        changed = {
            name: value for name, value in attrs.asdict(loaded).items() if value != current[name]
        }
        applied = {name: value for name, value in changed.items() if name in _RELOADABLE_SETTINGS}
        self._state.settings = attrs.evolve(self._state.settings, **applied)
        _log.info(
            'settings_reloaded',
            taken=sorted(applied),
            need_restart=sorted(set(changed) - set(applied)),
        )

    async def watch(self) -> None:
        """Reloads whenever the file changes, until cancelled."""
        while self._path:
            await trio.sleep(_POLL_SECONDS)
            if self._read_stamp() != self._file_stamp:
                self.reload()

    def _read_stamp(self) -> tuple[int, int]:
        """Returns the modification time and size of the file; zeros if it cannot be read."""
        if not self._path:
            return 0, 0
        try:
            status = Path(self._path).stat()
        except OSError as error:
            _log.warning('settings_unreadable', reason=repr(error))
            return 0, 0
        return status.st_mtime_ns, status.st_size
