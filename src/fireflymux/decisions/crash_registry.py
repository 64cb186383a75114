"""Requests that endpoints crashed on, known to every process of the system.

Whatever ran on an endpoint when it crashed is suspect, and a suspect runs alone next. One
that crashes an endpoint while it runs alone is guilty and refused everywhere for a time; one
that completes alone is cleared. So the innocent that ran beside it complete, and the guilty
one meets at most two more endpoints after the first.
"""

from collections.abc import Callable, Iterable

from ..messages import CrashVerdict

SUSPECT = 'suspect'
GUILTY = 'guilty'
_VERDICT_SECONDS = 600.0
_MAXIMUM_VERDICTS = 1000


class CrashRegistry:
    """Verdicts by fingerprint of the request."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Starts empty.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._verdicts: dict[str, tuple[str, float]] = {}

    def state_of(self, fingerprint: str) -> str:
        """Returns the verdict on a request.

        Args:
            fingerprint: Digest of the account's request.

        Returns:
            `SUSPECT`, `GUILTY` or an empty text.
        """
        state, until = self._verdicts.get(fingerprint, ('', 0.0))
        return state if until > self._clock() else ''

    def record_crash(self, fingerprint: str, *, alone: bool) -> None:
        """Records that an endpoint crashed while it ran a request.

        Args:
            fingerprint: Digest of the request.
            alone: Whether nothing else ran on the endpoint.
        """
        self._set(fingerprint, GUILTY if alone else SUSPECT, _VERDICT_SECONDS)

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that completed alone.

        Args:
            fingerprint: Digest of the request.
        """
        if self.state_of(fingerprint) == SUSPECT:
            self._verdicts.pop(fingerprint)

    def merge(self, verdicts: Iterable[CrashVerdict]) -> bool:
        """Takes over verdicts of another process.

        Args:
            verdicts: Its verdicts.

        Returns:
            Whether one was new.
        """
        is_new = False
        for verdict in verdicts:
            if self.state_of(verdict.fingerprint) in {verdict.state, GUILTY}:
                continue
            self._set(verdict.fingerprint, verdict.state, verdict.seconds_left)
            is_new = True
        return is_new

    def list_verdicts(self) -> list[CrashVerdict]:
        """Lists the verdicts in force.

        Returns:
            The verdicts to tell other processes.
        """
        now = self._clock()
        self._verdicts = {
            name: verdict for name, verdict in self._verdicts.items() if verdict[1] > now
        }
        return [
            CrashVerdict(fingerprint=name, state=state, seconds_left=round(until - now))
            for name, (state, until) in self._verdicts.items()
        ]

    def _set(self, fingerprint: str, state: str, seconds: float) -> None:
        if self.state_of(fingerprint) == GUILTY:
            return
        while len(self._verdicts) >= _MAXIMUM_VERDICTS:
            self._verdicts.pop(next(iter(self._verdicts)))
        self._verdicts[fingerprint] = (state, self._clock() + seconds)
