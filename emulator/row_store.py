"""Emulates the store that entry instances use: tables of rows, long polling and outages.

A follower polls with the newest version that it knows and waits for later changes. It gets status
410 if the store no longer has those changes, and must then read the whole table again.
"""

import base64
import copy
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import orjson
import trio

from fireflymux.http.messages import HeaderFields, Request
from fireflymux.http.response_writer import ResponseWriter

_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_UNAVAILABLE = 503


class RowStore:
    """Tables in memory, with a version that increases with each change.

    Attributes:
        version: Version of the newest change.
        era: Number of restores from a backup so far; stated in every answer.
        calls: Number of requests received.
        answer_seconds: Time that each answer is on its way after it was made.
    """

    def __init__(self) -> None:
        self.version = 1
        self.era = 0
        self.calls = 0
        self.answer_seconds = 0.0
        self._tables: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._changes: list[tuple[str, str, bytes | None, int]] = []
        self._oldest_version = 0
        self._changed = trio.Event()

    def put(self, table: str, key: str, content: Any) -> None:
        """Writes a row; content other than bytes is encoded as JSON."""
        raw = content if isinstance(content, bytes) else orjson.dumps(content)
        self.version += 1
        self._tables.setdefault(table, {})[key] = (raw, self.version)
        self._record_change(table, key, raw)

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self._tables.get(table, {}).pop(key, None)
        self._record_change(table, key, None)

    def forget_history(self) -> None:
        """Drops the changes so far, so that followers must read the whole tables again."""
        self.version += 1
        self._oldest_version = self.version
        self._notify_followers()

    def take_backup(self) -> tuple[int, dict]:
        """Returns a backup of the version and all tables."""
        return self.version, copy.deepcopy(self._tables)

    def restore_backup(self, backup: tuple[int, dict]) -> None:
        """Restores a backup: later writes are lost, and the version decreases."""
        version, tables = copy.deepcopy(backup)
        self.version = version
        self._tables = tables
        self.era += 1
        self._changes = [change for change in self._changes if change[-1] <= self.version]
        self._notify_followers()

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table in order."""
        return sorted(self._tables.get(table, {}))

    async def respond(
        self, request: Request, writer: ResponseWriter, find_outage: Callable[[], str]
    ) -> None:
        """Handles one request.

        Args:
            request: The request.
            writer: Writes the response.
            find_outage: Returns the outage that is in force: `busy` for status 503, `reset` to
                close the connection, `silent` to send no response; empty for none. One that begins
                while a request waits for changes affects that request as well.
        """
        self.calls += 1
        if not await _let_pass(writer, find_outage(), self._response_fields()):
            return
        query = {name: values[0] for name, values in parse_qs(request.query.decode()).items()}
        operation = request.path.rpartition(b'/')[2]
        if operation == b'rows-tx':
            response = self._apply_writes(orjson.loads(request.content))
        elif operation == b'rows-get':
            response = self._read_table(query['table'])
        else:
            response = await self._wait_for_changes(query)
        await trio.sleep(self.answer_seconds)
        if not await _let_pass(writer, find_outage(), self._response_fields()):
            return
        status = _STATUS_GONE if response is None else _STATUS_OK
        await writer.answer(status, self._response_fields(), orjson.dumps(response or {}))

    def _response_fields(self) -> HeaderFields:
        return [(b'Store-Era', b'%d' % self.era)]

    def _apply_writes(self, transaction: dict[str, Any]) -> dict[str, Any]:
        for row in transaction['writes']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for row in transaction['remove']:
            self.remove(row['table'], row['key'])
        return {'ver': self.version, 'now_ms': _read_clock()}

    def _read_table(self, table: str) -> dict[str, Any]:
        rows = [
            _encode_row(table, key, raw, version)
            for key, (raw, version) in sorted(self._tables.get(table, {}).items())
        ]
        return {'rows': rows, 'more_pages': False, 'ver': self.version, 'now_ms': _read_clock()}

    async def _wait_for_changes(self, query: dict[str, str]) -> dict[str, Any] | None:
        """Waits for changes of a table after a version, up to the time that the query states.

        Returns:
            The changes, or None if the store does not have all changes since that version, also
            because it was restored meanwhile.
        """
        after = int(query['after'])
        era = self.era
        with trio.move_on_after(int(query['wait_ms']) / 1000):
            while self._can_follow_from(after) and not self._changes_since(query['table'], after):
                await self._changed.wait()
                if self.era != era:
                    break
        if self.era != era or not self._can_follow_from(after):
            return None
        rows = self._changes_since(query['table'], after)
        return {'rows': rows, 'ver': self.version, 'now_ms': _read_clock()}

    def _can_follow_from(self, version: int) -> bool:
        return self._oldest_version <= version <= self.version

    def _changes_since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            _encode_row(table, key, raw, version)
            for changed_table, key, raw, version in self._changes
            if changed_table == table and version > after
        ]

    def _record_change(self, table: str, key: str, raw: bytes | None) -> None:
        self._changes.append((table, key, raw, self.version))
        self._notify_followers()

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def _let_pass(writer: ResponseWriter, outage: str, fields: HeaderFields) -> bool:
    """Answers as the outage says; returns whether there is none."""
    if outage == 'silent':
        await trio.sleep_forever()
    if outage == 'reset':
        writer.abort()
    if outage == 'busy':
        await writer.answer(_STATUS_UNAVAILABLE, fields, b'')
    return not outage


def _read_clock() -> int:
    """Returns the time of the store's steady clock in milliseconds."""
    return int(trio.current_time() * 1000)


def find_table(request: Request) -> str:
    """Returns the table that a read is about; empty for a write, which may be about several."""
    return parse_qs(request.query.decode()).get('table', ('',))[0]


def _encode_row(table: str, key: str, raw: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {'table': table, 'part': '', 'key': key, 'ver': version}
    if raw is None:
        row['removed'] = True
    else:
        row['value'] = base64.b64encode(raw).decode()
    return row
