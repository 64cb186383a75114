"""Predicts when an engine sends the first event of an answer.

While an engine is busy, a prompt stays unread and unanswered for as long as it takes to read
whatever is outstanding on it (Little's law), so that one speed, learned from the times to the
first event, covers the wait, the reading and the steps until the event is full.
"""

_FORGETTING_FACTOR = 0.985
#: Weight of the guess beside the measurements, in tokens.
_PRIOR_TOKENS = 100000.0
#: Time to the first event of an idle engine that has nothing to read, in seconds.
FIRST_EVENT_SECONDS = 0.055
_MINIMUM_SECONDS = 0.002


#: Weight of one stay against those before it.
_SLOT_TIME_GAIN = 0.02
#: Stay assumed before any was seen, in seconds.
_INITIAL_SLOT_SECONDS = 0.5


class StayModel:
    """How long requests occupy a slot of an engine, over all engines of a service.

    Attributes:
        seconds: The estimate.
    """

    def __init__(self) -> None:
        """Starts with a guess."""
        self.seconds = _INITIAL_SLOT_SECONDS

    def observe(self, seconds: float) -> None:
        """Takes a measurement.

        Args:
            seconds: Time from a first event to the end of its answer, its reading included.
        """
        self.seconds += _SLOT_TIME_GAIN * (seconds - self.seconds)


class FirstEventModel:
    """Tokens that an engine works off in a second, its first events included.

    Attributes:
        tokens_per_second: The estimate.
    """

    def __init__(self, tokens_per_second: float) -> None:
        """Starts with a guess.

        Args:
            tokens_per_second: The guess.
        """
        self.tokens_per_second = tokens_per_second
        self._prior_seconds = _PRIOR_TOKENS / tokens_per_second
        self._measured_tokens = 0.0
        self._measured_seconds = 0.0

    def observe(self, tokens: float, seconds: float) -> None:
        """Takes a measurement.

        Args:
            tokens: Tokens outstanding on the engine when the prompt was sent, its own included.
            seconds: Time from sending to the first event.
        """
        self._measured_tokens = _FORGETTING_FACTOR * self._measured_tokens + tokens
        processing_seconds = max(seconds - FIRST_EVENT_SECONDS, _MINIMUM_SECONDS)
        self._measured_seconds = _FORGETTING_FACTOR * self._measured_seconds + processing_seconds
        self.tokens_per_second = (self._measured_tokens + _PRIOR_TOKENS) / (
            self._measured_seconds + self._prior_seconds
        )
