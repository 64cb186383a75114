"""Keeps what is known about whether a request has run."""

import attrs


@attrs.define
class SendRecord:
    """Sends of one request, and how many of them are known not to have run it.

    A send is recorded before its first byte leaves, and is only ever taken back by an endpoint's
    statement that it did not execute the request. Whatever ends a request in between, even within
    an attempt, the record can err in one direction only: a request that did not run can count as
    one that may have.

    Attributes:
        sends: Number of times that the request was sent, or that sending began.
    """

    sends: int = 0
    _rejections: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.sends > self._rejections

    def record_send(self) -> None:
        """Records that the request is about to be sent; nothing may be awaited in between."""
        self.sends += 1

    def record_rejection(self) -> None:
        """Records the statement of an endpoint that the last send was not executed."""
        self._rejections += 1
