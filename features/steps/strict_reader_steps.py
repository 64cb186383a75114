"""Steps for the strict reader of the emulated callers, and for faults that overlap."""

from behave import then, when

from emulator.overlaps import Overlap
from emulator.strict_reader import StrictReader

_STREAM = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n'
_END = b'0\r\n\r\n'
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_RECEIVED = {
    'a stream with a second head': _STREAM + _ANSWER,
    'a stream with a part of a second head': _STREAM + _ANSWER[:3],
    'a chunk that is longer than its size': _STREAM + b'2\r\nlong\r\n' + _END,
    'a response that is longer than its length': _ANSWER + b'more',
    'three responses': _ANSWER * 3,
    'an interim response within a stream': _STREAM + _CONTINUE + _END,
    'an interim response that nothing waits for': _STREAM + _END + _CONTINUE + _ANSWER,
    'a head with two lengths': _ANSWER.replace(b'\r\n\r\n', b'\r\nTransfer-Encoding: x\r\n\r\n'),
    'a head with a malformed field': _ANSWER.replace(b'Content-', b'Content '),
    'a stream that breaks off within a chunk': _STREAM + b'5\r\nev',
    'two responses': _STREAM + _END + _ANSWER,
    'a response that ends with the connection': b'HTTP/1.1 200 OK\r\n\r\nevent',
    'a head alone': _ANSWER[:-4],
    'a response behind one that closes': _ANSWER.replace(
        b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
    )
    + _ANSWER,
}


def _read(content, size):
    reader = StrictReader(answers_due=2)
    for start in range(0, len(content), size):
        reader.feed(content[start : start + size])
    return reader.find_leftover()


@when('a caller that waits for 2 responses reads {name}')
def read_bytes(context, name):
    content = _RECEIVED[name]
    # The result must not depend on how the bytes are divided into reads.
    context.violations = [_read(content, size) for size in (1, 7, len(content))]


@then('it reports {violation}')
def assert_reported(context, violation):
    for found in context.violations:
        assert found.startswith('' if violation == 'nothing' else violation), found
        assert bool(found) == (violation != 'nothing'), found


@when('a caller that {asks} reads {name}, and the connection ends')
def read_as(context, asks, name):
    context.violations, context.counts = [], set()
    for size in (1, 7, len(_RECEIVED[name])):
        reader = StrictReader(answers_due=2, is_http10=asks == 'speaks HTTP/1.0')
        reader.head_answers = {0} if asks == 'asks by HEAD' else set()
        for start in range(0, len(_RECEIVED[name]), size):
            reader.feed(_RECEIVED[name][start : start + size])
        reader.end()
        context.violations.append(reader.find_leftover())
        context.counts.add(sum(answer.is_complete for answer in reader.answers))


@then('{count:d} of its responses are complete, and it reports {violation}')
def assert_reported_and_complete(context, violation, count):
    assert_reported(context, violation)
    assert context.counts == {count}, context.counts


@when('two faults overlap, and the one that began first ends first')
def overlap_faults(context):
    value = Overlap('')
    first, second = value.hold('busy'), value.hold('silent')
    context.seen = []
    for change in (
        first.__enter__,
        second.__enter__,
        lambda: first.__exit__(None, None, None),
        lambda: second.__exit__(None, None, None),
    ):
        change()
        context.seen.append(value.current)


@then('the other one lasts until its own end')
def assert_lasting(context):
    assert context.seen == ['busy', 'silent', 'silent', ''], context.seen
