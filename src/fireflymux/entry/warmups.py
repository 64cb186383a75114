"""Limits the requests of one instance to the endpoints that are warming up."""

from collections.abc import Callable, Collection

import trio

from .._settings_generated import EntrySettings
from ..decisions.entry_configuration import Service
from ..decisions.warmup import WarmupBound, WarmupShare, divide_bound
from ..observability.logs import get_logger
from .live_endpoint import LiveEndpoint

_log = get_logger(__name__)


class Warmups:
    """Which endpoints are warming up, and what this instance may send to each of them."""

    def __init__(
        self,
        settings: EntrySettings,
        *,
        find_service: Callable[[str], Service | None],
        list_instances: Callable[[], Collection[str]],
    ) -> None:
        """Creates a state in which no endpoint is warming up.

        Args:
            settings: Section [entry] of the settings.
            find_service: Returns a service of the active configuration by its name.
            list_instances: Returns the names of the other instances that may run.
        """
        self._name = settings.name
        self._overrun = settings.warmup_overrun
        self._tolerance = settings.warmup_tolerance
        self._find_service = find_service
        self._list_instances = list_instances
        self._last_end = float('-inf')

    def has_any(self, now: float) -> bool:
        """Tells whether any endpoint may be warming up.

        Args:
            now: Time in seconds.
        """
        return now < self._last_end

    def record(self, live: LiveEndpoint, seconds: float, *, is_stated: bool = False) -> None:
        """Records that an endpoint is warming up.

        Args:
            live: The endpoint.
            seconds: How much longer it warms up; the known time is never shortened.
            is_stated: Whether a response of the endpoint said so.
        """
        now = trio.current_time()
        if seconds <= 0:
            return
        if not live.is_warming(now):
            _log.info(
                'endpoint_warming',
                endpoint=live.endpoint.identifier,
                seconds=round(seconds, 3),
                is_stated=is_stated,
            )
        until = now + seconds
        if is_stated:
            live.stated_warmup_until = max(live.stated_warmup_until, until)
        live.warmup_until = max(live.warmup_until, until)
        self._last_end = max(self._last_end, until)

    def record_possible(self, live: LiveEndpoint, *, after_seconds: float = 0.0) -> None:
        """Records that an endpoint may have to warm up, for as long as its service states.

        That is so after a connection that it refused, since it may have ended and start again, and
        after the end of an evacuation.

        Args:
            live: The endpoint.
            after_seconds: Time after which it may start at the latest.
        """
        bound = self._find_bound(live)
        if bound is not None:
            self.record(live, after_seconds + bound.seconds)

    def may_place(self, live: LiveEndpoint, now: float) -> bool:
        """Tells whether a request may be placed on an endpoint now.

        Args:
            live: The endpoint.
            now: Time in seconds.
        """
        share = self._find_share(live, now)
        return share is None or live.pacer.may_place(share, now)

    def may_send(self, live: LiveEndpoint, now: float) -> bool:
        """Tells whether a request that was placed on an endpoint may be sent now.

        Args:
            live: The endpoint.
            now: Time in seconds.
        """
        share = self._find_share(live, now)
        return share is None or live.pacer.may_send(share, now)

    def _find_share(self, live: LiveEndpoint, now: float) -> WarmupShare | None:
        """Returns what this instance may send to an endpoint; None for no limit."""
        bound = self._find_bound(live) if live.is_warming(now) else None
        if bound is None:
            return None
        return divide_bound(
            bound, endpoint=live.number, name=self._name, others=self._list_instances()
        )

    def _find_bound(self, live: LiveEndpoint) -> WarmupBound | None:
        service = self._find_service(live.endpoint.service)
        if service is None or not service.warmup_per_second:
            return None
        return WarmupBound.from_rates(
            seconds=service.warmup_seconds,
            per_second=service.warmup_per_second,
            overrun=self._overrun,
            tolerance=self._tolerance,
        )
