"""State of a sidecar as one router knows it."""

import attrs
import trio

from ..messages import LiveInstance


@attrs.define(eq=False)
class SidecarPeer:
    """State of one sidecar as known to this router.

    Attributes:
        instance: Entry of the sidecar in the live list.
        sidecar_id: Incarnation of the sidecar, that is the ID of its process, new with each
            restart; empty until it first replies.
        endpoint: Name of its endpoint.
        free_slots: Free slots that it last reported, less the requests sent since then without
            a grant offer.
        is_leaving: Whether it reported that it is shutting down or that its endpoint is leaving. A
            sidecar without a confirmed configuration takes no requests either, but reports only
            that it has no free slots.
        is_up: Whether it replies to heartbeats.
        sequence: Number of the last heartbeat sent to it.
        missed_heartbeats: Consecutive heartbeats without a reply.
        totals_due_at: Time of the next exchange of service totals, in seconds.
        heartbeat_due: Set to send the next heartbeat early.
        transfer_scopes: Scopes of the transfers to cancel when it goes down.
        task_scope: Scope of the task that sends its heartbeats.
    """

    instance: LiveInstance
    sidecar_id: str = ''
    endpoint: str = ''
    free_slots: int = 0
    is_leaving: bool = False
    is_up: bool = False
    sequence: int = 0
    missed_heartbeats: int = 0
    totals_due_at: float = float('-inf')
    heartbeat_due: trio.Event = attrs.field(factory=trio.Event)
    transfer_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    task_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def address(self) -> str:
        """URL of the sidecar."""
        return self.instance.address

    @property
    def reporter(self) -> str:
        """Name under which the service totals (normalized cost) of this process are kept.

        It ends with the address, which `PeerDirectory.may_report` extracts.
        """
        return '{0}@{1}'.format(self.sidecar_id, self.address)
