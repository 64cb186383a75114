"""Names of the header fields of requests and responses on the platform, in lower case."""

ATTEMPT_ID = b'x-attempt-id'
DEADLINE_MS = b'x-deadline-ms'
AUTHORIZATION = b'authorization'
MODEL = b'x-model'
TOKEN_USAGE = b'x-token-usage'
PROMPT_PREFIX = b'x-prompt-prefix'
LENGTH_HINT = b'x-length-hint'
LAST_EVENT_ID = b'last-event-id'
SERVER_SIGNATURE = b'x-server-signature'
NOT_EXECUTED = b'x-not-executed'
SERVER_LOAD = b'x-server-load'
SERVER_LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
WARMUP_MS = b'x-warmup-ms'
KV_FETCH = b'kv-fetch'
KEEP_ALIVE = b'keep-alive'
ACCEPT_ENCODING = b'accept-encoding'
CONTENT_ENCODING = b'content-encoding'

#: Hop-by-hop and framing fields, and Expect; none of them is forwarded.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Request fields that are forwarded although the Connection field lists them: they belong to the
#: request and not to one connection.
END_TO_END = frozenset(
    (
        b'host',
        ATTEMPT_ID,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PREFIX,
        LENGTH_HINT,
        LAST_EVENT_ID,
    )
)
#: Response fields that are not forwarded to the caller; the last three are meant for the system.
NOT_RETURNED = HOP_BY_HOP | {SERVER_LOAD, SERVER_LEAVING, WARMUP_MS}
#: Request fields that are not forwarded as the caller sent them. Authorization and X-Deadline-Ms
#: are read here first, and the deadline is set anew; only the system may set the others.
SYSTEM_FIELDS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE_MS,
        b'x-tenant',
        b'x-expect-instance',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        KV_FETCH,
    )
)
