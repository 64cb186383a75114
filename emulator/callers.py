"""What callers do: chats, service calls, and many of them at once."""

import concurrent.futures
import itertools
import time
import uuid

import attrs
import httpx
import orjson

_STREAM_END_MARKER = 'data: [DONE]'
CHAT = '/v1/chat/completions'


@attrs.define
class Answer:
    """What a caller got for one request."""

    nonce: str
    tokens: int = 0
    status: int = 0
    text: str = ''
    problem: dict = attrs.field(factory=dict)
    headers: dict = attrs.field(factory=dict)
    broke: str = ''
    is_stream: bool = False
    seconds: float = 0

    @property
    def is_whole(self):
        """Whether the caller may take the answer for whole."""
        if self.broke or self.status != 200:
            return False
        return not self.is_stream or self.text.rstrip().endswith(_STREAM_END_MARKER)

    @property
    def expected(self):
        """The tokens of this request and no other."""
        return ['{0}:{1}'.format(self.nonce, index) for index in range(self.tokens)]

    @property
    def received(self):
        """The tokens that arrived, in order."""
        if not self.is_stream:
            return orjson.loads(self.text)['choices'][0]['message']['content'].split()
        lines = [line for line in self.text.splitlines() if line.startswith('data: {"id"')]
        events = (orjson.loads(line[6:]) for line in lines)
        return [event['choices'][0]['delta']['content'].strip() for event in events]


def authorization(account, secret='secret'):
    """Returns the headers of a caller."""
    return {'Authorization': 'Bearer {0}.{1}'.format(account, secret)}


def chat(
    address,
    account,
    *,
    tokens,
    secret='secret',
    stream=True,
    model='stylist',
    timeout=60,
    **emulator_options,
):
    """Sends a chat and returns the caller's answer."""
    nonce = uuid.uuid4().hex[:12]
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': stream,
        'emulator': {'tokens': tokens, 'nonce': nonce, **emulator_options},
    }
    answer = Answer(nonce, tokens=tokens, is_stream=stream)
    headers = authorization(account, secret)
    return send(answer, 'POST', address + CHAT, headers, body, timeout)


def call(
    address, account, *, key='', path='/services/orders/charges', timeout=30, nonce='', **body
):
    """Sends a call that has an effect and returns the caller's answer."""
    answer = Answer(nonce or uuid.uuid4().hex[:12])
    headers = authorization(account)
    if key:
        headers['Idempotency-Key'] = key
    body = {'nonce': answer.nonce, **body}
    return send(answer, 'POST', address + path, headers, body, timeout)


def send(answer, method, url, headers, body, timeout):
    """Fills an answer from the response."""
    started = time.monotonic()
    parts = []
    try:
        content = orjson.dumps(body) if isinstance(body, dict) else body
        with httpx.stream(
            method, url, headers=headers, content=content, timeout=timeout, trust_env=False
        ) as response:
            answer.status = response.status_code
            answer.headers = dict(response.headers)
            for part in response.iter_bytes():
                parts.append(part)
    except httpx.HTTPError as error:
        answer.broke = repr(error)
    answer.seconds = time.monotonic() - started
    answer.text = b''.join(parts).decode()
    if 'problem+json' in answer.headers.get('content-type', ''):
        answer.problem = orjson.loads(answer.text)
    return answer


def at_once(count, function):
    """Runs `act(number)` in threads and returns the results."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=count) as pool:
        return list(pool.map(function, range(count)))


def check_history(answers, histories, effects):
    """Checks callers' answers against what the endpoints saw.

    Returns a list of violations: an effect that happened twice, a request that was called not
    run and has an effect, a whole answer that is not exactly its own request's.
    """
    violations = []
    entries = itertools.chain.from_iterable(histories)
    executed_nonces = [entry['nonce'] for entry in entries]
    effect_nonces = [effect['nonce'] for effect in effects]
    for answer in answers:
        if effect_nonces.count(answer.nonce) > 1:
            violations.append(
                '{0} ran {1} times'.format(answer.nonce, effect_nonces.count(answer.nonce))
            )
        if answer.problem.get('ran') == 'no' and (
            answer.nonce in executed_nonces or answer.nonce in effect_nonces
        ):
            violations.append('{0} was called not run but ran'.format(answer.nonce))
        if answer.tokens and answer.is_whole and answer.received != answer.expected:
            violations.append('{0} got another answer'.format(answer.nonce))
        if answer.tokens and answer.status == 200 and not answer.is_whole:
            if not answer.broke and 'event: error' not in answer.text:
                violations.append('{0} was cut without saying so'.format(answer.nonce))
    return violations
