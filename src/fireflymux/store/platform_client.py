"""Clients of the platform's table service, object store and live list."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx
import orjson

from .._settings_generated import PlatformSettings
from ..bounded_values import OutOfBounds, check_integer, check_text
from ..messages import LiveInstance
from ..observability.logs import get_logger
from ..web.http_clients import is_process_url
from ..wire import codec

_log = get_logger(__name__)
_CONFLICT = 409
_NOT_FOUND = 404


class PlatformError(Exception):
    """A call to the platform failed: no response, one with an error status or an unreadable one.

    Attributes:
        may_have_written: Whether a write may have taken effect despite the error.
    """

    def __init__(self, detail: str, *, may_have_written: bool = False) -> None:
        """Creates the error; `detail` is its message."""
        super().__init__(detail)
        self.may_have_written = may_have_written


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; version zero means that the row does not exist.

    The class `Row` of `platform.store` is another one: a row of the entry role's store.
    """

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Put:
    """A conditional write; it conflicts unless the row has exactly the expected version."""

    key: str
    expected_version: int
    value: Any


class CommitResult(enum.Enum):
    """Whether a transaction was committed."""

    committed = 'committed'
    conflict = 'conflict'


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Result of a transaction and, after a conflict, the keys whose condition failed."""

    result: CommitResult
    failed_keys: tuple[str, ...] = ()


class TableClient:
    """Client of the table service: reads rows and commits conditional writes in transactions."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Creates a client that uses a shared HTTP client."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self, key: str) -> Row:
        """Reads one row.

        Args:
            key: Key of the row.

        Returns:
            The row; its version is zero if it does not exist.

        Raises:
            PlatformError: The call failed.
        """
        response = await _send(self._client, 'GET', '{0}/rows/{1}'.format(self._url, quote(key)))
        if response.status_code == _NOT_FOUND:
            return Row(key, 0, None)
        row = _parse_row(_decode_success(response))
        if row is None or row.key != key:
            raise PlatformError('the response is not the row {0}'.format(key))
        return row

    async def read_after(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Reads rows in key order.

        Args:
            prefix: Prefix of the keys to read.
            after: Key after which to start, exclusive.
            limit: Maximum number of rows.

        Returns:
            The rows, without those that cannot be read.

        Raises:
            PlatformError: The call failed, or the response is for another query.
        """
        query = httpx.QueryParams(prefix=prefix, after=after, limit=limit)
        response = await _send(self._client, 'GET', '{0}/rows?{1}'.format(self._url, query))
        rows = []
        for raw in _decode_list(response):
            row = _parse_row(raw)
            if row is None:
                _log.warning('row_unreadable', prefix=prefix)
                continue
            if not row.key.startswith(prefix) or row.key <= after:
                raise PlatformError('the response has rows that were not requested')
            rows.append(row)
        return rows

    async def commit(self, puts: Sequence[Put]) -> CommitOutcome:
        """Commits writes in one transaction, that is all of them or none.

        Args:
            puts: The conditional writes.

        Returns:
            Whether the transaction was committed, and the conflicting keys otherwise.

        Raises:
            PlatformError: The call failed; `may_have_written` tells whether the writes may have
                taken effect.
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
            return CommitOutcome(CommitResult.conflict, _parse_failed_keys(response, puts))
        if not isinstance(_decode_success(response, is_write=True), dict):
            raise PlatformError('the response is not one to a transaction', may_have_written=True)
        return CommitOutcome(CommitResult.committed)


class ObjectClient:
    """Client of the object store."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Creates a client that uses a shared HTTP client."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self, name: str) -> bytes:
        """Reads an object.

        Args:
            name: Name of the object.

        Returns:
            Content of the object.

        Raises:
            PlatformError: The call failed or the object does not exist.
        """
        response = await _send(self._client, 'GET', '{0}/{1}'.format(self._url, quote(name)))
        _check_success(response)
        return response.content

    async def write(self, name: str, content: bytes) -> None:
        """Writes an object, replacing any existing one.

        Args:
            name: Name of the object.
            content: Content of the object.

        Raises:
            PlatformError: The call failed. If there is no response, `may_have_written` is set
                even if no connection could be opened, in which case `_send` does not set it.
        """
        url = '{0}/{1}'.format(self._url, quote(name))
        try:
            response = await self._client.put(url, content=content)
        except httpx.HTTPError as error:
            raise PlatformError(repr(error), may_have_written=True) from error
        _check_success(response)


class LiveListClient:
    """Client of the platform's list of live instances, which is updated with a delay."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Creates a client that uses a shared HTTP client."""
        self._client = client
        self._url = url

    async def read(self) -> list[LiveInstance]:
        """Reads the list.

        Returns:
            The instances that the platform considers live, without entries that cannot be read or
            whose address is no URL of a process.

        Raises:
            PlatformError: The call failed, or the response is no list.
        """
        response = await _send(self._client, 'GET', self._url)
        instances = []
        for raw in _decode_list(response):
            try:
                instance = codec.structure(raw, LiveInstance)
            except codec.DecodeError as error:
                _log.warning('live_entry_unreadable', reason=str(error))
                continue
            if not is_process_url(instance.address):
                _log.warning('live_entry_without_address', name=instance.name)
                continue
            instances.append(instance)
        return instances


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """The platform clients of one process."""

    table: TableClient
    objects: ObjectClient
    live: LiveListClient

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSettings,
        client: httpx.AsyncClient,
    ) -> 'PlatformClients':
        """Creates the clients from the settings.

        Args:
            settings: Section [platform] of the settings.
            client: HTTP client with the timeout and credential for the platform.

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
        # No connection was available, so nothing was sent.
        raise PlatformError(repr(error)) from error
    except httpx.HTTPError as error:
        raise PlatformError(repr(error), may_have_written=True) from error


def _check_success(response: httpx.Response) -> None:
    """Raises PlatformError for an error status."""
    if response.is_success:
        return
    raise PlatformError(
        'status {0}'.format(response.status_code),
        may_have_written=response.is_server_error,
    )


def _decode_success(response: httpx.Response, *, is_write: bool = False) -> Any:
    """Returns the decoded JSON body of a successful response, or None if the body is empty.

    Raises PlatformError for an error status, or if the body is not JSON.
    """
    _check_success(response)
    if not response.content:
        return None
    try:
        return orjson.loads(response.content)
    except orjson.JSONDecodeError as error:
        raise PlatformError(
            'the response is not JSON: {0}'.format(error), may_have_written=is_write
        ) from error


def _decode_list(response: httpx.Response) -> list[Any]:
    """Returns the list in a successful response, without items that are nested too deeply.

    Raises PlatformError for an error status, or if the body is no list.
    """
    _check_success(response)
    try:
        items, unreadable_count = codec.decode_items(response.content)
    except codec.DecodeError as error:
        raise PlatformError('the response is no list: {0}'.format(error)) from error
    if unreadable_count:
        _log.warning('items_unreadable', url=str(response.url), count=unreadable_count)
    return items


def _parse_row(raw: Any) -> Row | None:
    """Returns a row as the table service states it, or None if it cannot be read."""
    try:
        version = check_integer(raw['version'], minimum=1)
        return Row(check_text(raw['key']), version, raw['value'])
    except (OutOfBounds, TypeError, KeyError):
        return None


def _parse_failed_keys(response: httpx.Response, puts: Sequence[Put]) -> tuple[str, ...]:
    """Returns which of the writes conflicted.

    Raises PlatformError if the response names none of them. It may not be the response to this
    transaction then, which may have been committed.
    """
    try:
        stated = orjson.loads(response.content)['failed']
        failed = tuple(put.key for put in puts if put.key in stated)
    except (orjson.JSONDecodeError, TypeError, KeyError):
        failed = ()
    if not failed:
        raise PlatformError('a conflict without the keys of the writes', may_have_written=True)
    return failed
