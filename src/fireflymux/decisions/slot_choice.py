"""Chooses the endpoint of a plain service: the one with the smallest fraction of slots in use.

The failure domain of the instance that chooses decides only between equals.
"""

from collections.abc import Sequence

import attrs


@attrs.define(frozen=True, kw_only=True)
class PlainEndpointView:
    """State of one endpoint of a plain service when a request is placed.

    A view stands for the endpoint with all its slots, not for one slot.

    Attributes:
        number: Number of the endpoint.
        running: Number of requests on it, over all instances; all of them occupy a slot or wait
            there for one.
        slots: Number of requests that it runs at once.
        is_same_domain: Whether it is in the failure domain of the instance that chooses.
    """

    number: int
    running: int
    slots: int
    is_same_domain: bool


def choose_plain_endpoint(views: Sequence[PlainEndpointView]) -> PlainEndpointView | None:
    """Chooses the endpoint with the smallest fraction of its slots in use.

    Args:
        views: Endpoints that may be given work.

    Returns:
        The endpoint, or None if no slot is free. Ties go to endpoints in the failure domain of
        this instance, then to the smallest number.
    """
    free = [view for view in views if view.running < view.slots]
    return min(
        free,
        key=lambda view: (view.running / view.slots, not view.is_same_domain, view.number),
        default=None,
    )
