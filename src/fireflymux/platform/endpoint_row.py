"""Decodes the rows by which endpoints register themselves in the platform's store."""

import ipaddress
from typing import Any

import orjson

from ..decisions.membership import Endpoint

#: Table of registered endpoints; the key of a row is the endpoint's identifier.
ENDPOINT_TABLE = 'servers'
#: States with which endpoints register themselves; those that operators announce are others
#: (`store.configuration`).
_ENDPOINT_STATES = frozenset(('ready', 'draining'))
_MILLISECONDS_PER_SECOND = 1000.0


def decode_endpoint(identifier: str, content: bytes) -> Endpoint | None:
    """Decodes one row.

    Args:
        identifier: Key of the row.
        content: Content of the row.

    Returns:
        The endpoint, or None if the row is not a valid registration, since another process may
        have written something else to the table. A valid row has an integer `sequence`, which is
        not used otherwise.
    """
    try:
        return _decode(identifier, orjson.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode(identifier: str, raw: dict[str, Any]) -> Endpoint | None:
    host, _, port = raw['address'].rpartition(':')
    if raw['state'] not in _ENDPOINT_STATES or not isinstance(raw['service'], str):
        return None
    incarnation = raw.get('born', 0)
    if not all(
        _is_integer(number) for number in (raw['batch_slots'], raw['sequence'], incarnation)
    ):
        return None
    if not isinstance(raw['zone'], str):
        return None
    warmup_milliseconds = raw.get('warmup_left_ms') or 0
    if isinstance(warmup_milliseconds, bool) or not isinstance(warmup_milliseconds, int | float):
        return None
    return Endpoint(
        identifier=identifier,
        service=raw['service'],
        host=str(ipaddress.IPv4Address(host)),
        port=int(port),
        failure_domain=raw['zone'],
        slots=raw['batch_slots'],
        is_leaving=raw['state'] == 'draining',
        incarnation=incarnation,
        warmup_seconds=warmup_milliseconds / _MILLISECONDS_PER_SECOND,
    )


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
