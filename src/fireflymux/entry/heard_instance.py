"""Another entry instance, as its newest report describes it."""

import attrs

from .._messages_generated import PeerReport
from ..decisions.followers import FRESH_SECONDS
from ..decisions.store_version import StoreVersion

_MILLISECONDS_PER_SECOND = 1000.0


@attrs.define(frozen=True)
class HeardInstance:
    """Another instance, as its newest report describes it.

    Attributes:
        failure_domain: Its failure domain.
        report: Its newest report.
        heard_at: Time at which the report arrived, in seconds.
    """

    failure_domain: str
    report: PeerReport
    heard_at: float

    @property
    def members_version(self) -> StoreVersion:
        """Version of its list of endpoints."""
        return StoreVersion(self.report.members_era, self.report.members_version)

    def is_store_fresh(self, now: float) -> bool:
        """Tells whether it knew the followed tables to be current a short time ago.

        Args:
            now: Time in seconds.
        """
        if self.report.store_age_milliseconds < 0:
            return False
        age = self.report.store_age_milliseconds / _MILLISECONDS_PER_SECOND
        return age + now - self.heard_at <= FRESH_SECONDS
