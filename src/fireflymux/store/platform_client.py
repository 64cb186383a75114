"""Clients of the platform's table service, object store and live list."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx
import orjson

from .._settings_generated import PlatformSettings
from ..messages import LiveInstance
from ..wire import codec

_CONFLICT = 409
_NOT_FOUND = 404


class PlatformError(Exception):
    """The platform did not answer, or answered with an error.

    Attributes:
        may_have_written: Whether a write can have taken effect all the same.
    """

    def __init__(self, detail: str, *, may_have_written: bool = False) -> None:
        """Keeps what is known of the failed call."""
        super().__init__(detail)
        self.may_have_written = may_have_written


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; version zero stands for a missing row."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Put:
    """One conditional write; the row must have exactly the expected version."""

    key: str
    expected_version: int
    value: Any


class CommitResult(enum.Enum):
    """Tagged result of a transaction."""

    committed = 'committed'
    conflict = 'conflict'


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Outcome of a transaction and, after a conflict, the keys whose condition failed."""

    result: CommitResult
    failed_keys: tuple[str, ...] = ()


class TableClient:
    """Reads rows and commits transactions of conditional writes."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Uses a shared HTTP client."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self, key: str) -> Row:
        """Reads one row.

        Args:
            key: Key of the row.

        Returns:
            The row; its version is zero if there is none.

        Raises:
            PlatformError: The table did not answer.
        """
        response = await _send(self._client, 'GET', '{0}/rows/{1}'.format(self._url, quote(key)))
        if response.status_code == _NOT_FOUND:
            return Row(key, 0, None)
        raw = _decode_success(response)
        return Row(key, raw['version'], raw['value'])

    async def read_after(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Reads rows in the order of their keys.

        Args:
            prefix: Beginning of the keys.
            after: Key before the first one to read.
            limit: Largest number of rows.

        Returns:
            The rows.

        Raises:
            PlatformError: The table did not answer.
        """
        query = httpx.QueryParams(prefix=prefix, after=after, limit=limit)
        response = await _send(self._client, 'GET', '{0}/rows?{1}'.format(self._url, query))
        return [Row(raw['key'], raw['version'], raw['value']) for raw in _decode_success(response)]

    async def commit(self, puts: Sequence[Put]) -> CommitOutcome:
        """Commits all writes or none of them.

        Args:
            puts: The conditional writes.

        Returns:
            Whether the transaction committed.

        Raises:
            PlatformError: The table did not answer; the writes can have taken effect.
        """
        body = [
            {'key': put.key, 'expected_version': put.expected_version, 'value': put.value}
            for put in puts
        ]
        response = await _send(
            self._client,
            'POST',
            '{0}/transactions'.format(self._url),
            {'puts': body},
        )
        if response.status_code == _CONFLICT:
            return CommitOutcome(CommitResult.conflict, tuple(response.json()['failed']))
        _decode_success(response)
        return CommitOutcome(CommitResult.committed)


class ObjectClient:
    """Reads and writes whole objects."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Uses a shared HTTP client."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self, name: str) -> bytes:
        """Reads an object.

        Args:
            name: Name of the object.

        Returns:
            Its content.

        Raises:
            PlatformError: The store did not answer or has no such object.
        """
        response = await _send(self._client, 'GET', '{0}/{1}'.format(self._url, quote(name)))
        _decode_success(response)
        return response.content

    async def write(self, name: str, content: bytes) -> None:
        """Writes an object, replacing an earlier one.

        Args:
            name: Name of the object.
            content: Its content.

        Raises:
            PlatformError: The store did not answer.
        """
        url = '{0}/{1}'.format(self._url, quote(name))
        try:
            response = await self._client.put(url, content=content)
        except httpx.HTTPError as error:
            raise PlatformError(repr(error), may_have_written=True) from error
        _decode_success(response)


class LiveListClient:
    """Reads the lagging list of live instances."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Uses a shared HTTP client."""
        self._client = client
        self._url = url

    async def read(self) -> list[LiveInstance]:
        """Reads the list.

        Returns:
            The instances that the platform takes for live.

        Raises:
            PlatformError: The list did not answer.
        """
        response = await _send(self._client, 'GET', self._url)
        return codec.structure(_decode_success(response), list[LiveInstance])


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """The clients of one process."""

    table: TableClient
    objects: ObjectClient
    live: LiveListClient

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSettings,
        client: httpx.AsyncClient,
    ) -> 'PlatformClients':
        """Creates the clients.

        Args:
            settings: Section [platform].
            client: HTTP client whose timeout is the platform's.

        Returns:
            The clients.
        """
        return cls(
            table=TableClient(client, settings.table_url),
            objects=ObjectClient(client, settings.object_url),
            live=LiveListClient(client, settings.live_url),
        )


async def _send(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    message: Any = None,
) -> httpx.Response:
    content = None if message is None else orjson.dumps(message)
    try:
        return await client.request(method, url, content=content)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise PlatformError(repr(error)) from error
    except httpx.HTTPError as error:
        raise PlatformError(repr(error), may_have_written=True) from error


def _decode_success(response: httpx.Response) -> Any:
    if response.is_success:
        return orjson.loads(response.content) if response.content else None
    raise PlatformError(
        'status {0}'.format(response.status_code),
        may_have_written=response.is_server_error,
    )
