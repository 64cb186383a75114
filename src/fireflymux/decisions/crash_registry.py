"""Finds requests that crash endpoints, and shares the verdicts among routers and sidecars.

Every request that runs on an endpoint when it crashes becomes a suspect. A suspect is retried in
isolation: alone on an endpoint. If that endpoint crashes as well, the request is guilty, and
refused until the verdict expires. If it completes, it is cleared in the process that saw it
complete; the verdicts of other processes stay, and merging one of them makes it a suspect again.
Requests that only ran beside a guilty one therefore complete. Normally a guilty request crashes
one more endpoint after the first, the one of its retry in isolation. If callers send the same
request to routers that the verdicts have not reached yet, it can crash further endpoints; the
bound that the design keeps is two more endpoints after the first.

Routers and sidecars use this registry. Entry instances use `CrashCounts`, which counts crashes
instead of running suspects alone.
"""

from collections.abc import Callable, Iterable

from ..messages import CrashVerdict

SUSPECT = 'suspect'
GUILTY = 'guilty'
#: Time after which a verdict expires.
_VERDICT_SECONDS = 600.0
#: Verdicts that are kept. At this number the oldest one is dropped whenever a verdict is set, also
#: if it replaces one that is kept already.
_MAXIMUM_VERDICTS = 1000


class CrashRegistry:
    """Verdicts by fingerprint of the request, a string (a number in `CrashCounts`)."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates a registry without verdicts.

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
            `SUSPECT`, `GUILTY`, or an empty string if there is no unexpired verdict.
        """
        state, until = self._verdicts.get(fingerprint, ('', 0.0))
        return state if until > self._clock() else ''

    def record_crash(self, fingerprint: str, *, alone: bool) -> None:
        """Records that an endpoint crashed while a request ran on it.

        Args:
            fingerprint: Digest of the request.
            alone: Whether it ran in isolation, as suspects do. It is then guilty, also if this
                process holds no verdict on it yet.
        """
        self._set(fingerprint, GUILTY if alone else SUSPECT, _VERDICT_SECONDS)

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that completed alone, in this process only.

        Merging the verdict of another process makes it a suspect again.

        Args:
            fingerprint: Digest of the request.
        """
        if self.state_of(fingerprint) == SUSPECT:
            self._verdicts.pop(fingerprint)

    def merge(self, verdicts: Iterable[CrashVerdict]) -> bool:
        """Merges the verdicts of another process; guilty overrides suspect.

        Args:
            verdicts: Its verdicts; those with an unknown state or a time out of range are left
                out.

        Returns:
            Whether a verdict was added or changed.
        """
        is_new = False
        for verdict in verdicts:
            is_in_range = 0 < verdict.seconds_left <= _VERDICT_SECONDS
            if not is_in_range or verdict.state not in {SUSPECT, GUILTY}:
                continue
            if self.state_of(verdict.fingerprint) in {verdict.state, GUILTY}:
                continue
            self._set(verdict.fingerprint, verdict.state, verdict.seconds_left)
            is_new = True
        return is_new

    def list_verdicts(self) -> list[CrashVerdict]:
        """Lists the unexpired verdicts.

        Returns:
            The verdicts, for other processes.
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
