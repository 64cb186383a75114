"""Decodes the entries that endpoints keep in the store."""

import ipaddress
from typing import Any

import orjson

from ..decisions.membership import Endpoint

#: Table of the entries in the store; the key of a row is the endpoint's identifier.
ENDPOINT_TABLE = 'servers'
_STATES = frozenset(('ready', 'draining'))


def decode_endpoint(identifier: str, content: bytes) -> Endpoint | None:
    """Decodes one entry.

    Args:
        identifier: Key of the row.
        content: Content of the row.

    Returns:
        The endpoint; None if another writer left something else there.
    """
    try:
        return _decode(identifier, orjson.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode(identifier: str, raw: dict[str, Any]) -> Endpoint | None:
    host, _, port = raw['address'].rpartition(':')
    if raw['state'] not in _STATES or not isinstance(raw['service'], str):
        return None
    started = raw.get('born', 0)
    if not all(_is_count(number) for number in (raw['batch_slots'], raw['sequence'], started)):
        return None
    if not isinstance(raw['zone'], str):
        return None
    return Endpoint(
        identifier=identifier,
        service=raw['service'],
        host=str(ipaddress.IPv4Address(host)),
        port=int(port),
        failure_domain=raw['zone'],
        slots=raw['batch_slots'],
        is_leaving=raw['state'] == 'draining',
        incarnation=started,
    )


def _is_count(found: Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool)
