"""Predicts when an engine sends the first event of a response, and how long it occupies a slot.

The time to the first event of a busy engine is proportional to the prompt tokens outstanding on
it (Little's law). A single speed, learned from measured times to the first event, therefore
covers the wait, the prefill and the first steps of generation.
"""

#: Factor by which the weight of earlier measurements shrinks with each new one.
_FORGETTING_FACTOR = 0.985
#: Weight of the initial speed beside the measurements, in tokens.
_PRIOR_TOKENS = 100000.0
#: Time to the first event on an idle engine, for a prompt that needs no prefill.
FIRST_EVENT_SECONDS = 0.055
#: Lower bound of a measurement after `FIRST_EVENT_SECONDS` is subtracted.
_MINIMUM_SECONDS = 0.002
#: Weight of the newest measurement in the moving average of the time in a slot.
_SLOT_TIME_GAIN = 0.02
#: Time in a slot that is assumed before the first measurement.
_INITIAL_SLOT_SECONDS = 0.5


class SlotTimeModel:
    """Mean time for which a request occupies a slot of an engine, over all engines of a service.

    Attributes:
        seconds: The estimate.
    """

    def __init__(self) -> None:
        """Creates a model with an assumed time."""
        self.seconds = _INITIAL_SLOT_SECONDS

    def observe(self, seconds: float) -> None:
        """Adds a measurement.

        Args:
            seconds: Time for which a request occupied its slot: the time of its prefill, plus the
                time from the first event to the end of the response.
        """
        self.seconds += _SLOT_TIME_GAIN * (seconds - self.seconds)


class FirstEventModel:
    """Speed at which an engine works through outstanding prompt tokens.

    The speed is a ratio of decaying sums of tokens and seconds, with an initial speed as a prior.

    Attributes:
        tokens_per_second: The estimate: prompt tokens that need prefill, per second.
    """

    def __init__(self, tokens_per_second: float) -> None:
        """Creates a model with an assumed speed.

        Args:
            tokens_per_second: The assumed speed.
        """
        self.tokens_per_second = tokens_per_second
        self._prior_seconds = _PRIOR_TOKENS / tokens_per_second
        self._measured_tokens = 0.0
        self._measured_seconds = 0.0

    @property
    def has_measurements(self) -> bool:
        """Whether the estimate follows from more than the assumed speed."""
        return self._measured_tokens > 0

    def observe(self, tokens: float, seconds: float) -> None:
        """Adds a measurement.

        Args:
            tokens: Prompt tokens outstanding on the engine when the prompt was sent, including
                those of the prompt.
            seconds: Time from sending the prompt to the first event.
        """
        self._measured_tokens = _FORGETTING_FACTOR * self._measured_tokens + tokens
        processing_seconds = max(seconds - FIRST_EVENT_SECONDS, _MINIMUM_SECONDS)
        self._measured_seconds = _FORGETTING_FACTOR * self._measured_seconds + processing_seconds
        self.tokens_per_second = (self._measured_tokens + _PRIOR_TOKENS) / (
            self._measured_seconds + self._prior_seconds
        )
