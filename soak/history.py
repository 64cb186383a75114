"""Record of what callers, endpoints and the store observed during one soak run."""

import attrs

from emulator.faulty_endpoint import Arrival
from emulator.strict_reader import StrictAnswer

#: Time after the end of a disturbance until the bounds on time apply again.
SETTLE_SECONDS = 3.0


@attrs.define(kw_only=True)
class Exchange:
    """One request of a caller and the answer to it.

    Attributes:
        attempt: Identifier of the request (`X-Attempt-Id`).
        kind: Kind of request; a key of `ROUTES`.
        account: Client account whose API key was sent.
        key_version: The only version of the configuration that contains the API key; zero for
            keys that all versions contain.
        instance: Name of the instance that the request was sent to.
        incarnation: Incarnation of that instance when the connection was opened.
        sent_at: Time at which the caller began to send it.
        paused_seconds: Time for which the caller did not read on purpose.
        event_count: Number of events asked for; zero for an answer without events.
        method: HTTP method.
        is_kept: Whether its connection had carried a request before.
        ended_at: Time at which the answer or the connection ended, or the caller had waited for too
            long; infinite if it gave up on purpose.
        status: Status code; zero if no response head was received.
        is_complete: Whether the answer was received up to its end.
        content: Body as far as it was received.
        echoed_attempt: Request identifier that the answer states.
        endpoint: Endpoint that the answer states (`X-Server-Signature`).
        abandoned_at: Time at which the caller closed the connection on purpose before the end of
            the answer; infinite if it did not.
        is_dropped: Whether it was sent behind another request, and the connection ended with the
            answer to that one, or stated that it would.
        violation: What the connection carried, in this answer or behind it, that is part of no
            answer; empty for nothing.
    """

    attempt: str
    kind: str
    account: str
    key_version: int
    instance: str
    incarnation: int
    sent_at: float
    event_count: int = 0
    method: str = 'POST'
    is_kept: bool = False
    paused_seconds: float = 0.0
    ended_at: float = float('inf')
    status: int = 0
    is_complete: bool = False
    content: bytes = b''
    echoed_attempt: str = ''
    endpoint: str = ''
    abandoned_at: float = float('inf')
    is_dropped: bool = False
    violation: str = ''

    def record_answer(self, answer: StrictAnswer) -> None:
        """Records the answer as far as it was received."""
        self.status = answer.status
        self.is_complete = answer.is_complete
        self.content = answer.content
        self.echoed_attempt = answer.fields.get('x-attempt-id', '')
        self.endpoint = answer.fields.get('x-server-signature', '')


@attrs.define(kw_only=True)
class Disturbance:
    """A period in which a fault affects an instance, an endpoint or all instances.

    Attributes:
        kind: Kind of the event, or `starved` if the soak itself got no processor time.
        target: Name of the instance, endpoint, endpoint host or table affected; empty for
            everything.
        start: Time at which it starts.
        end: Time at which it ends.
    """

    kind: str
    target: str
    start: float
    end: float


@attrs.define(kw_only=True)
class Stop:
    """A planned stop of an instance, requested with SIGTERM.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the instance that was stopped.
        signalled_at: Time of the signal.
        ended_at: Time at which the process had ended; infinite until then.
        exit_code: Exit code of the process; None until it has ended.
    """

    instance: str
    incarnation: int
    signalled_at: float
    ended_at: float = float('inf')
    exit_code: int | None = None


@attrs.define(frozen=True, kw_only=True)
class OwnEnd:
    """An end of an instance's process that no signal to end asked for.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the instance that ended.
        seen_at: Time at which it was noticed.
        exit_code: Exit code of the process.
    """

    instance: str
    incarnation: int
    seen_at: float
    exit_code: int


@attrs.define
class History:
    """Everything that was observed during one run; times are in seconds of trio's clock.

    Attributes:
        arrivals: Requests that endpoints began to run.
        exchanges: Requests of callers with their answers.
        disturbances: Periods of faults.
        waits: Periods in which the soak or an instance waited for a processor, however short.
        stops: Planned stops of instances.
        own_ends: Processes that ended by themselves.
        config_accepted_at: Time at which the store accepted each version of the configuration.
        leaving_since: Time at which the store accepted that an endpoint leaves, by the name of
            the endpoint.
        retry_constant: Retries that the settings allow beside a share of the requests.
        faults_ended_at: Time at which the fault phase ended.
        ended_at: Time at which the callers stopped.
        log_lines: Pairs of the name of an instance and a line that it logged.
    """

    arrivals: list[Arrival] = attrs.field(factory=list)
    exchanges: list[Exchange] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    waits: list[Disturbance] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    own_ends: list[OwnEnd] = attrs.field(factory=list)
    config_accepted_at: dict[int, float] = attrs.field(factory=dict)
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    retry_constant: int = 10
    faults_ended_at: float = float('inf')
    ended_at: float = float('inf')
    log_lines: list[tuple[str, str]] = attrs.field(factory=list)

    def is_undisturbed(self, targets: set[str], start: float, end: float) -> bool:
        """Tells whether no disturbance affected any of the targets during a period.

        Args:
            targets: Names of instances, endpoints and endpoint hosts.
            start: Start of the period; the time to settle before it must be undisturbed as well.
            end: End of the period.

        Returns:
            Whether no disturbance of a target, or of everything, overlaps the period.
        """
        for disturbance in self.disturbances:
            if disturbance.target and disturbance.target not in targets:
                continue
            if disturbance.start <= end and disturbance.end >= start - SETTLE_SECONDS:
                return False
        return True

    def arrivals_by_attempt(self) -> dict[str, list[Arrival]]:
        """Groups the arrivals by the identifier of the request."""
        found: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            found.setdefault(arrival.attempt, []).append(arrival)
        return found
