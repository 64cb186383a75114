"""Decodes the rows by which endpoints register themselves in the platform's store."""

import ipaddress
from typing import Any

import orjson

from ..bounded_values import (
    MAXIMUM_PORT,
    MAXIMUM_SECONDS,
    OutOfBounds,
    check_integer,
    check_name,
    check_number,
    parse_integer,
)
from ..decisions.membership import Endpoint
from ..observability.logs import get_logger

_log = get_logger(__name__)

#: Table of registered endpoints; the key of a row is the endpoint's identifier.
ENDPOINT_TABLE = 'servers'
#: States with which endpoints register themselves; those that operators announce are others
#: (`store.configuration`).
_ENDPOINT_STATES = frozenset(('ready', 'draining'))
_MILLISECONDS_PER_SECOND = 1000.0
_MAXIMUM_WARMUP_MILLISECONDS = MAXIMUM_SECONDS * _MILLISECONDS_PER_SECOND
#: Greatest number of requests that one endpoint runs at once.
_MAXIMUM_SLOTS = 1000000


def decode_endpoint(identifier: str, content: bytes) -> Endpoint | None:
    """Decodes one row.

    Args:
        identifier: Key of the row.
        content: Content of the row.

    Returns:
        The endpoint, or None if the row is not a valid registration, since another process may
        have written something else to the table. In a valid row all members are in range, and the
        identifier can be sent in a header field. It has an integer `sequence`, which is not used
        otherwise.
    """
    try:
        return _decode(check_name(identifier), orjson.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _log.warning('endpoint_malformed', endpoint=identifier, reason=repr(error))
        return None


def _decode(identifier: str, raw: dict[str, Any]) -> Endpoint:
    host, _, port = raw['address'].rpartition(':')
    if raw['state'] not in _ENDPOINT_STATES:
        raise OutOfBounds('the state is not known')
    check_integer(raw['sequence'])
    warmup_milliseconds = check_number(
        raw.get('warmup_left_ms') or 0,
        minimum=-_MAXIMUM_WARMUP_MILLISECONDS,
        maximum=_MAXIMUM_WARMUP_MILLISECONDS,
    )
    return Endpoint(
        identifier=identifier,
        service=check_name(raw['service']),
        host=str(ipaddress.IPv4Address(host)),
        port=_decode_port(port),
        failure_domain=check_name(raw['zone']),
        slots=check_integer(raw['batch_slots'], maximum=_MAXIMUM_SLOTS),
        is_leaving=raw['state'] == 'draining',
        incarnation=check_integer(raw.get('born', 0)),
        warmup_seconds=warmup_milliseconds / _MILLISECONDS_PER_SECOND,
    )


def _decode_port(text: str) -> int:
    port = parse_integer(text.encode(), maximum=MAXIMUM_PORT)
    if not port:
        raise OutOfBounds('the port is not from 1 to {0}'.format(MAXIMUM_PORT))
    return port
