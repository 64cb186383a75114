"""Selects the endpoints that a request may be sent to."""

from collections.abc import Callable, Collection

import attrs
import trio

from .._settings_generated import EntrySettings
from ..decisions.entry_configuration import Service
from ..decisions.evacuations import Evacuations
from .live_endpoint import LiveEndpoint
from .warmups import Warmups

#: How long a list of candidate endpoints is reused before it is computed again.
_CACHE_SECONDS = 0.02


@attrs.define(frozen=True)
class _CachedCandidates:
    """Cached list of the endpoints of one service that may get new requests.

    Attributes:
        endpoints: The endpoints.
        valid_until: Time until which the list is reused, in seconds.
    """

    endpoints: list[LiveEndpoint]
    valid_until: float


class Candidates:
    """Endpoints that may get requests, by their availability, region, evacuations and warm-ups.

    Attributes:
        evacuations: Failure domains that the operator has evacuated.
        warmups: Limits on the requests to endpoints that are warming up.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        list_endpoints: Callable[[str], Collection[LiveEndpoint]],
        find_service: Callable[[str], Service | None],
        list_instances: Callable[[], Collection[str]],
    ) -> None:
        """Creates a selection without evacuations and warm-ups.

        Args:
            settings: Section [entry] of the settings.
            list_endpoints: Returns the listed endpoints of a service.
            find_service: Returns a service of the active configuration by its name.
            list_instances: Returns the names of the other instances that may run.
        """
        self.evacuations = Evacuations()
        self.warmups = Warmups(settings, find_service=find_service, list_instances=list_instances)
        self._list_endpoints = list_endpoints
        self._regions = _parse_regions(settings.regions)
        self._cached: dict[str, _CachedCandidates] = {}

    def select(
        self,
        service: str,
        excluded: Collection[int] = (),
        regions: frozenset[str] | None = None,
    ) -> list[LiveEndpoint]:
        """Selects the endpoints of a service that a new request may be sent to.

        Args:
            service: Name of the service.
            excluded: Numbers of endpoints that must not be chosen, since they were tried.
            regions: Regions that the endpoints must be in; None for all.

        Returns:
            The available endpoints; if none is, all that accept work. Those that are warming up
            and may get no further request yet are left out.
        """
        now = trio.current_time()
        if excluded or regions is not None:
            selected = self._find(service, excluded, regions)
        else:
            selected = self._find_cached(service, now)
        if not self.warmups.has_any(now):
            return selected
        return [live for live in selected if self.warmups.may_place(live, now)]

    def list_allowed(
        self, service: str, regions: frozenset[str] | None
    ) -> Collection[LiveEndpoint]:
        """Lists the endpoints of a service in some regions, whether or not they accept work.

        Args:
            service: Name of the service.
            regions: Names of the regions; None for all.
        """
        listed = self._list_endpoints(service)
        if regions is None:
            return listed
        # A failure domain whose region is not known is in none of them.
        return [
            live for live in listed if self._regions.get(live.endpoint.failure_domain) in regions
        ]

    def drop_cache(self) -> None:
        """Drops the cached lists, since endpoints accept work that did not, or the reverse."""
        self._cached.clear()

    def _find_cached(self, service: str, now: float) -> list[LiveEndpoint]:
        cached = self._cached.get(service)
        if cached is None or cached.valid_until <= now:
            cached = _CachedCandidates(self._find(service, (), None), now + _CACHE_SECONDS)
            self._cached[service] = cached
        return cached.endpoints

    def _find(
        self, service: str, excluded: Collection[int], regions: frozenset[str] | None
    ) -> list[LiveEndpoint]:
        """Computes what `select` returns, including endpoints that are warming up."""
        now = trio.current_time()
        accepting = [
            live
            for live in self.list_allowed(service, regions)
            if live.number not in excluded and live.accepts_work(now)
        ]
        return [live for live in accepting if live.is_available(now)] or accepting


def _parse_regions(text: str) -> dict[str, str]:
    """Returns the region of each failure domain in the setting `regions`."""
    entries = (entry.strip().partition('=') for entry in text.split(',') if entry.strip())
    return {domain: region for domain, _, region in entries}
