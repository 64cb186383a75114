"""Bounds the retries that all entry instances together send to one service.

Routers use `RetryBudget` instead, which bounds the retries of each client account at one router.
"""

from collections import deque

#: Fraction of its part of the allowance that an instance uses. The rest is a margin, as each
#: instance sees only its own requests.
_SAFETY_FACTOR = 0.8


class RetryAllowance:
    """Retries that one instance may send to a service within a sliding window.

    The allowance of the service is a fraction of its requests plus a constant. Each instance
    applies the fraction to its own requests and divides the constant by the number of instances
    that may run at once. While no more than that run, the sum over the instances therefore stays
    within the allowance without any communication, even while instances cannot reach each other.
    """

    def __init__(
        self,
        *,
        ratio: float,
        window_seconds: float,
        constant: float,
        maximum_instances: int,
    ) -> None:
        """Creates an allowance for a service without requests.

        Args:
            ratio: Retries allowed for each request.
            window_seconds: Length of the window.
            constant: Additional retries allowed in each window, over all instances together.
            maximum_instances: Maximum number of instances that run at once, this one included.
        """
        self._ratio = ratio
        self._window = window_seconds
        self._constant_per_instance = constant / max(maximum_instances, 1)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts the request of a caller; retries are not counted here.

        Args:
            now: Time in seconds.
        """
        self._requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Takes one retry, if one is left.

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
