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
