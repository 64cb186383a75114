"""Chooses the endpoint of a plain service: the one with most free slots, near ones first."""

from collections.abc import Sequence

import attrs


@attrs.define(frozen=True, kw_only=True)
class SlotView:
    """What is known of one endpoint of a plain service.

    Attributes:
        number: Number of the endpoint.
        running: Requests on it, over all instances.
        slots: Requests that it runs at once.
        is_near: Whether it is in the failure domain of the instance that chooses.
    """

    number: int
    running: int
    slots: int
    is_near: bool


def choose_slot(views: Sequence[SlotView]) -> SlotView | None:
    """Chooses the endpoint with the smallest part of its slots taken.

    Args:
        views: Endpoints that may be given work.

    Returns:
        The endpoint, or None if every slot is taken.
    """
    free = [view for view in views if view.running < view.slots]
    return min(
        free,
        key=lambda view: (view.running / view.slots, not view.is_near, view.number),
        default=None,
    )
