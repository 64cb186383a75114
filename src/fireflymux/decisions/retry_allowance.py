"""Bounds the repeats that all entry instances together send to one service."""

from collections import deque

#: Part of the allowance that is used, since each instance sees its own requests only.
_SAFETY_FACTOR = 0.8


class RetryAllowance:
    """Repeats that one instance may send to a service within a sliding window.

    The allowance is a ratio of the service's requests plus a constant. Requests add up over
    the instances, and the constant is divided among as many instances as may run, so that
    the sum holds with no exchange, also between instances that cannot reach each other.
    """

    def __init__(
        self,
        *,
        ratio: float,
        window_seconds: float,
        constant: float,
        instances: int,
    ) -> None:
        """Starts with no request.

        Args:
            ratio: Repeats allowed for each request.
            window_seconds: Length of the window.
            constant: Repeats allowed in each window besides, over all instances.
            instances: Instances that may run at once.
        """
        self._ratio = ratio
        self._window = window_seconds
        self._constant_per_instance = constant / max(instances, 1)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts a caller's request for the service.

        Args:
            now: Time in seconds.
        """
        self._requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Takes one repeat.

        Args:
            now: Time in seconds.

        Returns:
            Whether one was left.
        """
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = _SAFETY_FACTOR * (
            self._ratio * len(self._requests) + self._constant_per_instance
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
