"""Names of HTTP headers and content types on the links between processes."""

#: Carries the run order, as JSON.
ORDER = 'X-Fireflymux-Run'
#: Repeats the request identifier, so that a crossed answer is noticed.
REQUEST_ECHO = 'X-Fireflymux-Request'
JSON = 'application/json'
PROBLEM = 'application/problem+json'
EVENT_STREAM = 'text/event-stream'
#: Last event of every whole stream of server-sent events.
STREAM_END = b'data: [DONE]\n\n'
