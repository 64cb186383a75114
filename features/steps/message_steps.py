"""Steps for routes, requests and streams, whatever the paths and however the bytes are split."""

import itertools

import trio
from behave import when
from hypothesis import given as generate
from hypothesis import strategies

from emulator.entry_fleet import configuration, route
from features.steps.decision_steps import _PROPERTY_SETTINGS
from fireflymux.decisions.entry_configuration import index_routes
from fireflymux.entry.event_relay import EventRelay
from fireflymux.http.messages import HttpLimits
from fireflymux.http.request_parser import RequestParser
from fireflymux.platform.configuration_row import decode_configuration


@when('paths are looked up among any routes')
def look_up_routes(context):
    part = strategies.sampled_from(('a', 'b', 'c'))
    path = strategies.lists(part, max_size=4).map(lambda parts: '/' + ''.join(parts))
    prefix = strategies.lists(part, max_size=3).map(
        lambda parts: '/' + ''.join(name + '/' for name in parts)
    )

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(prefix, unique=True, min_size=1), path, part)
    def run(prefixes, head, tail):
        import orjson

        raw = configuration(1, [route(item, 'safe', 'pool') for item in prefixes])
        decoded = decode_configuration(orjson.dumps(raw))
        asked = '{0}/{1}'.format(head.rstrip('/'), tail)
        fitting = [item for item in prefixes if asked.startswith(item)]
        found = decoded.find_route('models.example', asked)
        assert (found and found.prefix) == max(fitting, key=len, default=None)
        assert index_routes([]) == {}

    run()


@when('two requests arrive in pieces of any length')
def parse_split_requests(context):
    raw = (
        b'POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello'
        b'POST /c HTTP/1.1\r\nHost: y\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(strategies.integers(1, len(raw)), max_size=12))
    def run(cuts):
        requests = []
        parser = RequestParser(HttpLimits(), requests.append)
        places = [0, *sorted(set(cuts)), len(raw)]
        for start, end in itertools.pairwise(places):
            if start < end:
                parser.feed(raw[start:end])
        assert parser.violation is None
        assert [(item.target, item.content) for item in requests] == [
            (b'/a?b', b'hello'),
            (b'/c', b'abcde'),
        ]

    run()


class _RecordingWriter:
    """Records what a relay writes to its caller."""

    def __init__(self):
        self.content = b''
        self.has_begun = False
        self.is_ended = False

    async def start(self, status, fields, first_chunk):
        assert not self.has_begun
        self.has_begun = True
        self.content += first_chunk

    async def send_chunk(self, content):
        assert self.has_begun
        self.content += content

    async def end(self):
        self.is_ended = True


@when('a stream arrives in pieces of any length, broken off anywhere and resumed')
def relay_split_stream(context):
    events = [b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(8)]
    whole = b''.join(events)
    fields = [(b'Content-Type', b'text/event-stream')]

    @_PROPERTY_SETTINGS
    @generate(strategies.integers(0, len(whole)), strategies.integers(1, 40))
    def run(broken_at, piece):
        async def play():
            caller = _RecordingWriter()
            relay = EventRelay(caller, resume_after=-1, has_event_ids=True)
            relay.begin_attempt(200, fields)
            for start in range(0, broken_at, piece):
                await relay.forward(whole[start : min(start + piece, broken_at)], 200, [])
            relay.begin_attempt(200, fields)
            # The next endpoint resumes after the last complete event, or repeats that event.
            rest = b''.join(events[max(relay.last_event_id, 0) :])
            for start in range(0, len(rest), piece):
                await relay.forward(rest[start : start + piece], 200, [])
            await relay.end(200, [])
            assert caller.content == whole and caller.is_ended

        trio.run(play)

    run()
