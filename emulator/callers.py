"""Emulates callers: sends chats and service calls, and checks the answers."""

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
    """Answer to one request, as its caller received it.

    Attributes:
        nonce: Random text that the endpoint repeats in its answer.
        tokens: Number of tokens that were requested.
        status: HTTP status; 0 if no response arrived.
        text: Body as far as it was received.
        problem: Decoded problem document; empty if the body is none.
        headers: Headers of the response.
        connection_error: Error of the connection; empty if there was none.
        is_stream: Whether a stream was requested.
        seconds: Time until the end of the response.
    """

    nonce: str
    tokens: int = 0
    status: int = 0
    text: str = ''
    problem: dict = attrs.field(factory=dict)
    headers: dict = attrs.field(factory=dict)
    connection_error: str = ''
    is_stream: bool = False
    seconds: float = 0

    @property
    def is_whole(self):
        """Whether the answer is complete as far as its caller can tell."""
        if self.connection_error or self.status != 200:
            return False
        return not self.is_stream or self.text.rstrip().endswith(_STREAM_END_MARKER)

    @property
    def expected(self):
        """The tokens that an engine generates for this request."""
        return ['{0}:{1}'.format(self.nonce, index) for index in range(self.tokens)]

    @property
    def received(self):
        """The tokens that were received, in order."""
        if not self.is_stream:
            return orjson.loads(self.text)['choices'][0]['message']['content'].split()
        lines = [line for line in self.text.splitlines() if line.startswith('data: {"id"')]
        events = (orjson.loads(line[6:]) for line in lines)
        return [event['choices'][0]['delta']['content'].strip() for event in events]


def authorization(account, secret='secret'):
    """Returns the authorization header of an account as a dictionary."""
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
    """Sends a chat request.

    Args:
        address: URL of the router.
        account: The client account.
        tokens: Number of tokens that the engine generates.
        secret: Secret of the account.
        stream: Whether to request a stream.
        model: Model that the request names.
        timeout: Timeout in seconds of each network operation.
        emulator_options: Further members of `emulator` in the body, for the emulated engine.

    Returns:
        The answer.
    """
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
    """Sends a service call that has an effect.

    Args:
        address: URL of the router.
        account: The client account.
        key: Idempotency key; empty for none.
        path: Path of the call.
        timeout: Timeout in seconds of each network operation.
        nonce: Nonce that identifies the effect; empty for a random one.
        body: Further members of the body, for the emulated service.

    Returns:
        The answer.
    """
    answer = Answer(nonce or uuid.uuid4().hex[:12])
    headers = authorization(account)
    if key:
        headers['Idempotency-Key'] = key
    body = {'nonce': answer.nonce, **body}
    return send(answer, 'POST', address + path, headers, body, timeout)


def send(answer, method, url, headers, body, timeout):
    """Sends a request, fills the answer from the response and returns it.

    Args:
        answer: Answer without a response.
        method: HTTP method.
        url: URL of the request.
        headers: Headers of the request.
        body: Bytes, or a dictionary that is encoded as JSON.
        timeout: Timeout in seconds of each network operation.
    """
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
        answer.connection_error = repr(error)
    answer.seconds = time.monotonic() - started
    answer.text = b''.join(parts).decode()
    if 'problem+json' in answer.headers.get('content-type', ''):
        answer.problem = orjson.loads(answer.text)
    return answer


def run_concurrently(count, function):
    """Calls `function(number)` in `count` concurrent threads and returns the results in order."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=count) as pool:
        return list(pool.map(function, range(count)))


def find_answer_violations(answers, histories, effects):
    """Checks the answers of callers against the records of the endpoints.

    Args:
        answers: Answers of all callers.
        histories: Requests that each engine ran.
        effects: Effects of the services.

    Returns:
        Violations: a call with more than one effect, a request that ran although its error says
        that it did not, a complete answer with tokens of another request, and a truncated stream
        that neither broke off nor ended with an error event.
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
            violations.append('{0} ran but was reported as not run'.format(answer.nonce))
        if answer.tokens and answer.is_whole and answer.received != answer.expected:
            violations.append('{0} got tokens of another request'.format(answer.nonce))
        if answer.tokens and answer.status == 200 and not answer.is_whole:
            if not answer.connection_error and 'event: error' not in answer.text:
                violations.append('{0} was truncated without an error event'.format(answer.nonce))
    return violations
