"""Learns how fast an engine reads prompts from the times to the first event."""

#: Smallest amount of work that tells a speed, in prompt tokens.
_TELLING_TOKENS = 3000
_NEWEST_WEIGHT = 0.1
#: Time to the first event of an idle engine that has nothing to read, in seconds.
FIRST_EVENT_SECONDS = 0.05
_SLOWEST = 8000.0
_FASTEST = 400000.0


class ReadingSpeed:
    """Prompt tokens that one engine reads in a second.

    Attributes:
        tokens_per_second: The estimate.
    """

    def __init__(self, tokens_per_second: float) -> None:
        """Starts with a guess.

        Args:
            tokens_per_second: The guess.
        """
        self.tokens_per_second = tokens_per_second

    def observe(self, tokens: int, seconds: float) -> None:
        """Takes a measured time to the first event.

        Args:
            tokens: Prompt tokens that were read until then.
            seconds: Time from sending to the first event.
        """
        if tokens < _TELLING_TOKENS:
            return
        speed = tokens / max(seconds - FIRST_EVENT_SECONDS, 0.001)
        bounded = min(max(speed, _SLOWEST), _FASTEST)
        self.tokens_per_second += _NEWEST_WEIGHT * (bounded - self.tokens_per_second)
