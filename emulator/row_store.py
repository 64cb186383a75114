"""Stand-in of the users' store: rows of tables, followed as they change, with outages."""

import base64
import copy
from typing import Any
from urllib.parse import parse_qs

import orjson
import trio

from fireflymux.http.response_writer import ResponseWriter
from fireflymux.http.messages import HeaderFields, Request

_OK = 200
_GONE = 410
_BUSY = 503


class RowStore:
    """Tables in memory, with a version that grows with each change.

    Attributes:
        version: Version of the newest change.
        era: How often it came back from a copy; stated in every answer.
        calls: Calls answered so far.
    """

    def __init__(self) -> None:
        self.version = 1
        self.era = 0
        self.calls = 0
        self._rows: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._changes: list[tuple[str, str, bytes | None, int]] = []
        self._oldest = 0
        self._changed = trio.Event()

    def put(self, table: str, key: str, content: Any) -> None:
        """Writes a row; anything but bytes is encoded as JSON."""
        raw = content if isinstance(content, bytes) else orjson.dumps(content)
        self.version += 1
        self._rows.setdefault(table, {})[key] = (raw, self.version)
        self._note(table, key, raw)

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self._rows.get(table, {}).pop(key, None)
        self._note(table, key, None)

    def forget_history(self) -> None:
        """Drops the changes so far: those who follow must read the tables whole."""
        self.version += 1
        self._oldest = self.version
        self._wake()

    def take_copy(self) -> tuple[int, dict]:
        """Returns a copy of all tables for `go_back`."""
        return self.version, copy.deepcopy(self._rows)

    def go_back(self, taken: tuple[int, dict]) -> None:
        """Comes back from a copy: what was written since is gone, and numbers go back."""
        version, rows = copy.deepcopy(taken)
        self.version = version
        self._rows = rows
        self.era += 1
        self._changes = [change for change in self._changes if change[-1] <= self.version]
        self._wake()

    def keys(self, table: str) -> list[str]:
        """Lists the keys of a table."""
        return sorted(self._rows.get(table, {}))

    async def respond(self, request: Request, writer: ResponseWriter, outage: str) -> None:
        """Answers one call.

        Args:
            request: The call.
            writer: Writes the answer.
            outage: 'busy', 'reset' or 'silent'; empty for none.
        """
        self.calls += 1
        if outage == 'silent':
            await trio.sleep_forever()
        if outage == 'reset':
            writer.abort()
            return
        if outage == 'busy':
            await writer.answer(_BUSY, self._fields(), b'')
            return
        query = {name: texts[0] for name, texts in parse_qs(request.query.decode()).items()}
        name = request.path.rpartition(b'/')[2]
        if name == b'rows-tx':
            answer = self._write(orjson.loads(request.content))
        elif name == b'rows-get':
            answer = self._read(query['table'])
        else:
            answer = await self._follow(query)
        status = _GONE if answer is None else _OK
        await writer.answer(status, self._fields(), orjson.dumps(answer or {}))

    def _fields(self) -> HeaderFields:
        return [(b'Store-Era', b'%d' % self.era)]

    def _write(self, change: dict[str, Any]) -> dict[str, Any]:
        for row in change['writes']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for row in change['remove']:
            self.remove(row['table'], row['key'])
        return {'ver': self.version, 'now_ms': 0}

    def _read(self, table: str) -> dict[str, Any]:
        rows = [
            _encode(table, key, raw, version)
            for key, (raw, version) in sorted(self._rows.get(table, {}).items())
        ]
        return {'rows': rows, 'more_pages': False, 'ver': self.version, 'now_ms': 0}

    async def _follow(self, query: dict[str, str]) -> dict[str, Any] | None:
        after = int(query['after'])
        era = self.era
        with trio.move_on_after(int(query['wait_ms']) / 1000):
            while self._has(after) and not self._since(query['table'], after):
                await self._changed.wait()
                if self.era != era:
                    break
        if self.era != era or not self._has(after):
            return None
        rows = self._since(query['table'], after)
        return {'rows': rows, 'ver': self.version, 'now_ms': 0}

    def _has(self, version: int) -> bool:
        return self._oldest <= version <= self.version

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            _encode(table, key, raw, version)
            for found, key, raw, version in self._changes
            if found == table and version > after
        ]

    def _note(self, table: str, key: str, raw: bytes | None) -> None:
        self._changes.append((table, key, raw, self.version))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _encode(table: str, key: str, raw: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {'table': table, 'part': '', 'key': key, 'ver': version}
    if raw is None:
        row['removed'] = True
    else:
        row['value'] = base64.b64encode(raw).decode()
    return row
