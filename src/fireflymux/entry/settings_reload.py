"""Takes over changed settings while the process runs."""

from pathlib import Path

import attrs
import trio

from ..observability.logs import get_logger
from ..settings import EntryProcessSettings, SettingsError
from .state import EntryState

_log = get_logger(__name__)
_POLL_SECONDS = 2.0
#: Settings that are taken over at once; the others need a restart.
_RELOADABLE_SETTINGS = frozenset(('seeds', 'shutdown_timeout_seconds'))


class SettingsReloader:
    """Reads the settings file again on request, or when it has changed."""

    def __init__(self, state: EntryState, path: str) -> None:
        """Remembers the file.

        Args:
            state: Beliefs of the instance, which hold its settings.
            path: The settings file; empty for none.
        """
        self._state = state
        self._path = path
        self._file_stamp = self._read_stamp()

    def reload(self) -> None:
        """Reads the file and takes over what may change; a bad file changes nothing."""
        self._file_stamp = self._read_stamp()
        try:
            found = EntryProcessSettings.from_file(self._path).entry
        except SettingsError as error:
            _log.error('settings_invalid', reason=str(error))
            return
        current = attrs.asdict(self._state.settings)
        changed = {
            name: text for name, text in attrs.asdict(found).items() if text != current[name]
        }
        taken = {name: text for name, text in changed.items() if name in _RELOADABLE_SETTINGS}
        self._state.settings = attrs.evolve(self._state.settings, **taken)
        _log.info(
            'settings_reloaded',
            taken=sorted(taken),
            need_restart=sorted(set(changed) - set(taken)),
        )

    async def watch(self) -> None:
        """Reloads whenever the file changes, until cancelled."""
        while self._path:
            await trio.sleep(_POLL_SECONDS)
            if self._read_stamp() != self._file_stamp:
                self.reload()

    def _read_stamp(self) -> tuple[int, int]:
        if not self._path:
            return 0, 0
        try:
            status = Path(self._path).stat()
        except OSError as error:
            _log.warning('settings_unreadable', reason=repr(error))
            return 0, 0
        return status.st_mtime_ns, status.st_size
