"""Checks a caller's request against the configuration: its route, account, key and service."""

import hashlib
import zlib
from collections.abc import Callable

import attrs
import trio

from ..decisions.entry_configuration import Route
from ..decisions.retry import AttemptHistory
from ..errors import CallFailure, ErrorKind
from ..http.messages import Request, find_header
from ..http.response_writer import ResponseWriter
from ..platform.call_headers import RequestMetadata
from .event_relay import EventRelay
from .state import EntryState

_FINGERPRINT_BYTES = 7


@attrs.define(eq=False, kw_only=True)
class Call:
    """An admitted request of a caller, with the attempts made so far.

    Attributes:
        request: The request.
        metadata: What its header fields say, such as the deadline, the key and the prompt's parts.
        route: The route that it matched.
        service: The service that was chosen from those of the route.
        account: Client account; empty for requests without a key.
        priority: Rank among the waiting requests; 0 is the most urgent.
        regions: Regions whose endpoints may get it; None for all.
        deadline: Time at which the caller's deadline or the route's timeout ends, in seconds. A
            response that arrives within a short margin after it is still used.
        relay: Forwards the events of the response; None if the route does not stream.
        has_caller_disconnected: Tells whether the caller closed its connection.
        tried_endpoints: Numbers of the endpoints that were chosen for it.
        history: Its attempts, and whether one of them may have run it.
        crash_check: Set once it is known whether the endpoint of the last attempt that broke off
            has ended; None if there is nothing to find out.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: str
    account: str
    priority: int
    deadline: float
    relay: EventRelay | None
    has_caller_disconnected: Callable[[], bool]
    regions: frozenset[str] | None = None
    tried_endpoints: set[int] = attrs.field(factory=set)
    history: AttemptHistory = attrs.field(factory=AttemptHistory)
    crash_check: trio.Event | None = None
    _part_fingerprints: tuple[int, ...] | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request, so that repeating it may not be safe."""
        return self.history.may_have_run

    @property
    def has_begun(self) -> bool:
        """Whether the head of the response was sent to the caller."""
        return self.relay is not None and self.relay.is_begun

    async def wait_for_crash_check(self) -> None:
        """Waits until it is known whether the endpoint of the last attempt has ended."""
        if self.crash_check is not None:
            await self.crash_check.wait()

    def checksum(self) -> int:
        """Returns a short digest of account, path and body; `RefusedRequests` keeps calls by it.

        Different requests can share one, so a match may only be used where an error does no harm.
        """
        caller = '{0} {1}'.format(self.account, self.request.path.decode('latin-1'))
        return zlib.crc32(self.request.content, zlib.crc32(caller.encode()))

    def fingerprint(self) -> int:
        """Returns a long digest of account, path and body, by which `CrashCounts` counts crashes.

        It is equal if a caller repeats the request.
        """
        digest = hashlib.blake2b(self.request.content, digest_size=_FINGERPRINT_BYTES)
        digest.update(self.request.path)
        digest.update(self.account.encode())
        return int.from_bytes(digest.digest(), 'big')

    def part_fingerprints(self) -> tuple[int, ...]:
        """Returns digests of service and part, for all parts of the prompt but the last.

        Other requests can share these parts.
        """
        if self._part_fingerprints is None:
            shared = self.metadata.parts[:-1]
            self._part_fingerprints = tuple(
                _digest_part(self.service, part.identifier) for part in shared
            )
        return self._part_fingerprints

    def describe_part(self, fingerprint: int) -> str:
        """Returns the identifier of the part with a fingerprint, as the caller sent it."""
        index = self.part_fingerprints().index(fingerprint)
        return '{0:x}'.format(self.metadata.parts[index].identifier)


def _digest_part(service: str, identifier: int) -> int:
    content = '{0} {1:x}'.format(service, identifier).encode()
    digest = hashlib.blake2b(content, digest_size=_FINGERPRINT_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def admit_call(
    state: EntryState,
    request: Request,
    metadata: RequestMetadata,
    writer: ResponseWriter,
) -> Call | CallFailure:
    """Checks a request against the active configuration.

    Args:
        state: State of the instance.
        request: The request.
        metadata: What its header fields say.
        writer: Writes its response.

    Returns:
        The admitted call, or the reason for which the request is refused.
    """
    configuration = state.configuration
    if configuration is None or not state.has_endpoint_list:
        return CallFailure(ErrorKind.configuration_unavailable)
    if state.refuses_requests:
        return CallFailure(ErrorKind.shutting_down)
    if metadata.has_several_attempts:
        return CallFailure(ErrorKind.malformed_request, 'it states several identifiers')
    host = find_header(request.fields, b'host').partition(b':')[0].decode('latin-1').lower()
    route = configuration.find_route(host, request.path.decode('latin-1'))
    if route is None:
        return CallFailure(ErrorKind.pool_unknown)
    account = configuration.accounts_by_key.get(metadata.key, '') if metadata.key else ''
    if configuration.needs_keys and not account and not route.is_public:
        return CallFailure(ErrorKind.unauthenticated)
    relay = None
    if route.repeatability.is_stream:
        relay = EventRelay(
            writer,
            resume_after=metadata.resume_after,
            has_event_ids=route.repeatability.may_repeat,
        )
    return Call(
        request=request,
        metadata=metadata,
        route=route,
        service=route.choose_service(state.rng),
        account=account,
        priority=configuration.find_priority(route, account),
        deadline=request.received_at + min(metadata.deadline_seconds, route.timeout_seconds),
        relay=relay,
        has_caller_disconnected=writer.has_caller_disconnected,
        regions=configuration.find_regions(route, account),
    )
