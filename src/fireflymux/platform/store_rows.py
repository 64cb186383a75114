"""Rows of the platform's store, and the responses in which the store returns them."""

import base64
from dataclasses import dataclass
from typing import Any

from ..bounded_values import OutOfBounds, check_integer
from ..decisions.store_version import StoreVersion
from ..observability.logs import get_logger

_log = get_logger(__name__)
_OK = 200


class StoreUnavailable(Exception):
    """A call to the store gave no usable response; a write may still have taken effect.

    It failed, was rejected, or its response was not valid JSON, had another shape or was of an
    outdated era; or the era changed while a table was read.
    """


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table of the entry role's store, or the change to it.

    The class `Row` of `store.platform_client` is another one: a row of the table service.

    Attributes:
        key: Key of the row.
        content: Content of the row; None if the row was removed, empty if it cannot be decoded.
        number: Number of its last change, as in `StoreVersion.number`, within one era of the
            store; zero if the store does not state a valid one.
    """

    key: str
    content: bytes | None
    number: int


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of a table as of a version of the store.

    `read_table` returns all rows, `follow_table` only the changed and removed ones.

    Attributes:
        rows: The rows.
        version: The version.
        as_of: Time in seconds at which that version was the newest one of the store.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    as_of: float


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store cannot list the changes since a version; the table must be read again."""


@dataclass(frozen=True, slots=True)
class StoreReply:
    """A response of the store.

    Attributes:
        status: HTTP status code.
        era: Era of the store that the response states; the newest known one if it states none.
        json_body: Decoded JSON body, for reads a page of rows; None if the body is empty or the
            status is not 200.
        as_of: Time in seconds at which what it says held.
    """

    status: int
    era: int
    json_body: Any
    as_of: float


@dataclass(frozen=True, slots=True)
class Page:
    """Rows in a response of the store, without those that have no valid key.

    Attributes:
        rows: The rows.
        version: Version of the store at which they were read.
        has_more: Whether there are rows after them.
        as_of: Time in seconds at which that version was the newest one of the store.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    has_more: bool
    as_of: float


def decode_page(reply: StoreReply) -> Page:
    """Decodes the response to a read.

    Args:
        reply: The response.

    Returns:
        The rows in it.

    Raises:
        StoreUnavailable: The store rejected the call, or the response has another shape.
    """
    if reply.status != _OK:
        raise StoreUnavailable('store responded with status {0}'.format(reply.status))
    body = reply.json_body
    if not isinstance(body, dict) or not isinstance(body.get('rows'), list):
        raise StoreUnavailable('the response holds no rows')
    try:
        version = StoreVersion(reply.era, check_integer(body.get('ver')))
    except OutOfBounds as error:
        raise StoreUnavailable('the response states no version: {0}'.format(error)) from error
    decoded = [_decode_row(raw) for raw in body['rows']]
    rows = tuple(row for row in decoded if row is not None)
    return Page(rows, version, bool(body.get('more_pages')), reply.as_of)


def _decode_row(raw: Any) -> Row | None:
    """Decodes a row; one without a valid key is left out, so that it does not hide the others."""
    if not isinstance(raw, dict) or not isinstance(raw.get('key'), str):
        _log.warning('row_malformed', key='', reason='no key')
        return None
    key = raw['key']
    if raw.get('removed'):
        return Row(key, None, _decode_number(key, raw.get('ver', 0)))
    return Row(key, _decode_content(key, raw.get('value')), _decode_number(key, raw.get('ver')))


def _decode_content(key: str, encoded: Any) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except (TypeError, ValueError) as error:
        _log.warning('row_malformed', key=key, reason=repr(error))
        return b''


def _decode_number(key: str, stated: Any) -> int:
    try:
        return check_integer(stated)
    except OutOfBounds as error:
        _log.warning('row_malformed', key=key, reason=repr(error))
        return 0
