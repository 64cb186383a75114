"""Steps for decoders of values from outside, with generated values."""

import math

import attrs
import msgspec
import orjson
from behave import then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.entry_fleet import configuration, route
from features.steps.outside_peer_steps import _NOTICE, _REPORT
from fireflymux.entry.peer_notices import decode_notice
from fireflymux.entry.report_datagrams import decode_report, encode_report
from fireflymux.http.messages import Request, ResponseHead
from fireflymux.platform.call_headers import decode_request_headers, decode_response_headers
from fireflymux.platform.configuration_row import MalformedRow, decode_configuration
from fireflymux.platform.endpoint_row import decode_endpoint
from fireflymux.platform.store_rows import StoreReply, StoreUnavailable, decode_page

_REPRODUCIBLE = hypothesis_settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)
_EDGES = (0, -1, 1, 65536, 2**53, 2**63, 2**64 - 1, 1e308, -1e308)
_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.sampled_from(_EDGES),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=8),
)
_JSON = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=6,
)
_FIELD_TEXT = strategies.one_of(
    strategies.binary(max_size=30),
    strategies.from_regex(rb'[-+ ]?[0-9a-f,:.=_]{1,40}', fullmatch=True),
    strategies.sampled_from((b'9' * 400, b'9' * 5000, b'f' * 400 + b':1', b'a:' + b'9' * 30)),
)
_ENTRY = {
    'service': 'pool',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'batch_slots': 8,
    'state': 'ready',
    'sequence': 1,
    'born': 1700000000000,
    'warmup_left_ms': 0,
}


def _replaced(members, value):
    """Generates copies of a dictionary in which some members are replaced."""
    names = strategies.lists(strategies.sampled_from(sorted(members)), min_size=1, max_size=3)
    return names.flatmap(
        lambda chosen: strategies.fixed_dictionaries(dict.fromkeys(chosen, value))
    ).map(lambda changes: members | changes)


def _check_numbers(value):
    """Checks every number in nested attrs classes, dictionaries and lists."""
    if isinstance(value, int):
        # Both would raise an error for a number beyond bounds.
        msgspec.msgpack.encode(value)
        float(value)
    elif isinstance(value, float):
        assert not math.isnan(value), value
    elif isinstance(value, dict):
        _check_numbers(list(value.values()))
    elif isinstance(value, list | tuple):
        for entry in value:
            _check_numbers(entry)
    elif attrs.has(type(value)):
        _check_numbers([getattr(value, name) for name in attrs.fields_dict(type(value))])


@when('header fields of requests and responses hold any text')
def generate_headers(context):
    names = (
        b'X-Token-Usage X-Length-Hint X-Prompt-Prefix Last-Event-Id X-Deadline-Ms Authorization'
        b' Keep-Alive X-Warmup-Ms Retry-After X-Attempt-Id'
    ).split()

    @_REPRODUCIBLE
    @generate(strategies.fixed_dictionaries(dict.fromkeys(names, _FIELD_TEXT)))
    def run(values):
        fields = list(values.items())
        request = decode_request_headers(Request(method=b'POST', target=b'/', fields=fields))
        _check_numbers(request)
        assert request.prompt_tokens >= 0 and request.output_tokens >= 0, request
        assert request.deadline_seconds > 0 and request.resume_after >= -1, request
        assert all(part.identifier >= 0 and part.tokens >= 0 for part in request.parts), request
        response = decode_response_headers(ResponseHead(status=503, fields=fields))
        _check_numbers(response)
        assert 0 <= response.warmup_seconds <= 86400, response
        assert 0 <= response.requested_backoff_seconds <= 600, response

    run()


@when('any members of an entry of an endpoint are replaced by any JSON')
def generate_entries(context):
    ports = strategies.integers(-5, 99999).map('127.0.0.1:{0}'.format)
    value = strategies.one_of(_JSON, ports, strategies.sampled_from(_EDGES))

    @_REPRODUCIBLE
    @generate(
        _replaced(_ENTRY, value), strategies.one_of(strategies.just('e0'), strategies.text())
    )
    def run(entry, identifier):
        endpoint = decode_endpoint(identifier, orjson.dumps(entry))
        if endpoint is None:
            return
        _check_numbers(endpoint)
        assert 0 < endpoint.port < 65536 and 0 <= endpoint.slots <= 1000000, endpoint
        assert '\r' not in endpoint.identifier and '\n' not in endpoint.identifier, endpoint

    run()


@when('any members of a configuration are replaced by any JSON')
def generate_configurations(context):
    sound = configuration(5, [])
    service = {'name': 'pool', 'engine': {'batch_slots': 4, 'kv_capacity': 5}}
    account = {'name': 'a', 'api_keys': ['k'], 'priority': 1, 'allowed_regions': ['r']}
    sound_route = route('/', 'streaming', 'pool', gap_aim_ms=5, backends=[])

    @_REPRODUCIBLE
    @generate(
        _replaced(sound, _JSON) | strategies.just(sound),
        _replaced(sound_route, _JSON),
        _replaced(service, _JSON),
        _replaced(account, _JSON),
    )
    def run(raw, odd_route, odd_service, odd_account):
        parts = {'routes': [odd_route], 'services': [odd_service], 'tenants': [odd_account]}
        # Lists that were replaced as a whole stay so.
        kept = {name: part for name, part in parts.items() if raw[name] is sound[name]}
        try:
            decoded = decode_configuration(orjson.dumps(raw | kept))
        except MalformedRow:
            return
        _check_numbers(decoded)
        for account_name in decoded.accounts_by_key.values():
            assert account_name.isprintable(), decoded

    run()


@when('any members of a reply of the store are replaced by any JSON')
def generate_replies(context):
    row = {'key': 'k', 'value': 'e30=', 'ver': 5}

    @_REPRODUCIBLE
    @generate(
        strategies.lists(_JSON | _replaced(row, _JSON), max_size=3),
        _replaced({'ver': 5, 'more_pages': False}, _JSON) | strategies.just({'ver': 5}),
        _JSON,
    )
    def run(rows, reply, other):
        for body in (reply | {'rows': [*rows, row]}, reply | {'rows': other}, other):
            try:
                page = decode_page(StoreReply(200, 0, body, 0.0))
            except StoreUnavailable:
                continue
            assert all(0 <= found.number < 2**53 for found in page.rows), page
            if isinstance(body['rows'], list) and body['rows'][-1:] == [row]:
                assert page.rows[-1].content == b'{}', page

    run()


@when('any members of reports and notices are replaced by any MessagePack')
def generate_messages(context):
    value = strategies.one_of(
        _JSON,
        strategies.floats(),
        strategies.lists(strategies.integers(-5, 2**64 - 1), max_size=6),
        strategies.lists(strategies.lists(strategies.integers(-5, 2**64 - 1), max_size=5)),
        strategies.dictionaries(strategies.just('a'), strategies.floats()),
    )
    report = attrs.asdict(_REPORT)
    notice = attrs.asdict(_NOTICE)

    @_REPRODUCIBLE
    @generate(_replaced(report, value), _replaced(notice, value))
    def run(odd_report, odd_notice):
        try:
            decoded = decode_report(msgspec.msgpack.encode(list(odd_report.values())))
        except msgspec.MsgspecError:
            decoded = _REPORT
        _check_numbers(decoded)
        encode_report(decoded)
        assert len(decoded.loads) % 3 == 0, decoded
        assert all(len(crash) >= 2 for crash in decoded.crashes or ()), decoded
        assert all(len(placed) % 2 for placed in decoded.placements), decoded
        try:
            found = decode_notice(msgspec.msgpack.encode(list(odd_notice.values())))
        except ValueError:
            return
        assert found is None or len(found.warming) % 2 == 0, found

    run()


@then('they are decoded to values that a report and a float can hold')
@then('it names no endpoint, or one whose values can be used')
@then('it is refused, or its values can be used')
@then('it counts as an outage, or its rows can be used')
@then('they are refused, or their values can be encoded and merged')
def check_decoded(context):
    """The When step asserts it for each generated case."""
