"""What callers, endpoints and the store saw during one soak, for the checks."""

import attrs

#: Time without a fault that must lie before a moment at which bounds on time hold, in seconds.
SETTLE_SECONDS = 3.0


@attrs.define(kw_only=True)
class Arrival:
    """One request that an endpoint began to run.

    Attributes:
        attempt: Identifier of the caller's request.
        endpoint: Identifier of the endpoint.
        service: Service of the endpoint.
        account: Client account that the request named.
        has_key: Whether the caller's key was passed on.
        started_at: Time in seconds.
        ended_at: Time at which the endpoint stopped to work on it; infinite before.
    """

    attempt: str
    endpoint: str
    service: str
    account: str
    has_key: bool
    started_at: float
    ended_at: float = float('inf')


@attrs.define(kw_only=True)
class Exchange:
    """One request of a caller and what came back.

    Attributes:
        attempt: Its identifier.
        kind: Key of `world.ROUTES`.
        account: Client account of the key.
        key_version: Version of the configuration that the key belongs to; zero for lasting keys.
        instance: Instance that it was sent to.
        incarnation: Which start of that instance.
        sent_at: Time in seconds.
        event_count: Number of events asked for.
        ended_at: Time of the end of the answer or of the connection.
        status: Status code; zero if no head came.
        is_whole: Whether the answer came to its end.
        content: Body as far as it came.
        echoed: Identifier that the answer bears.
        endpoint: Endpoint that signed the answer.
        left_at: Time at which the caller gave up; infinite if it did not.
    """

    attempt: str
    kind: str
    account: str
    key_version: int
    instance: str
    incarnation: int
    sent_at: float
    event_count: int = 0
    ended_at: float = float('inf')
    status: int = 0
    is_complete: bool = False
    content: bytes = b''
    echoed_attempt: str = ''
    endpoint: str = ''
    abandoned_at: float = float('inf')


@attrs.define(kw_only=True)
class Disturbance:
    """A fault while it lasts.

    Attributes:
        kind: What happens.
        target: Instance or endpoint that it happens to; empty for all instances.
        start: Time in seconds.
        end: Time in seconds.
    """

    kind: str
    target: str
    start: float
    end: float


@attrs.define(kw_only=True)
class Stop:
    """One SIGTERM of an instance.

    Attributes:
        instance: Its name.
        incarnation: Which start of it.
        signalled_at: Time of the signal in seconds.
        ended_at: Time at which the process was gone; infinite before.
        exit_code: Its exit code.
    """

    instance: str
    incarnation: int
    signalled_at: float
    ended_at: float = float('inf')
    exit_code: int | None = None


@attrs.define
class History:
    """Everything that was seen.

    Attributes:
        arrivals: Requests that endpoints began to run.
        exchanges: Requests of callers.
        disturbances: Faults.
        stops: Planned stops of instances.
        accepted: Time at which the store accepted each version of the configuration.
        left: Time at which the store accepted that an endpoint leaves.
        calm_at: Time from which no fault happens any more.
        ended_at: Time at which callers stopped.
        log_lines: Lines that instances logged, with the instance's name.
    """

    arrivals: list[Arrival] = attrs.field(factory=list)
    exchanges: list[Exchange] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    config_accepted_at: dict[int, float] = attrs.field(factory=dict)
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    faults_ended_at: float = float('inf')
    ended_at: float = float('inf')
    log_lines: list[tuple[str, str]] = attrs.field(factory=list)

    def is_undisturbed(self, targets: set[str], start: float, end: float) -> bool:
        """Tells whether nothing disturbed some targets.

        Args:
            targets: Instances and endpoints.
            start: First moment in seconds; the time of contact before it counts as well.
            end: Last moment in seconds.

        Returns:
            Whether no fault overlaps, of one of the targets or of all.
        """
        for disturbance in self.disturbances:
            if disturbance.target and disturbance.target not in targets:
                continue
            if disturbance.start <= end and disturbance.end >= start - SETTLE_SECONDS:
                return False
        return True

    def arrivals_by_attempt(self) -> dict[str, list[Arrival]]:
        """Returns the arrivals by identifier of the request."""
        found: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            found.setdefault(arrival.attempt, []).append(arrival)
        return found
