"""Weights and limits by which prompts are placed, held back or refused."""

import attrs


@attrs.define(frozen=True, kw_only=True)
class PlacingPolicy:
    """One way of placing; experiments compare several, instances use the defaults.

    Attributes:
        held_part: Requests that an engine may hold, as a part of its slots. Those beyond the
            slots wait there, so that a slot is taken at once when it becomes free, not only
            after the instances have heard of it.
        target_part: Part of the target latency by which the first event is to come.
        over_share_part: The same for accounts that were given their share already.
        yield_ratio: What is left of these parts while the same account sends more urgent
            requests, so that room is left for those.
        size_part: Part of a prompt's own reading that does not count against its target, so
            that long prompts are not the first to be refused.
        patience_part: Part of the target latency after which a request is refused.
        reread_weight: Weight of reading a shared part again, against waiting for as long.
        home_bias_seconds: Wait that another engine must save before a prompt leaves its home.
        remote_bias_seconds: Wait that an engine in another failure domain must save, for the
            bytes between the two.
        small_shared_tokens: Shared parts up to this length are read once in each failure
            domain.
        late_wait_part: Wait before reading that a prompt may have which can't be on time, as a
            part of the latency that it would have to meet.
    """

    held_part: float = 1.5
    target_part: float = 0.75
    over_share_part: float = 0.45
    yield_ratio: float = 0.7
    size_part: float = 0.35
    patience_part: float = 0.25
    reread_weight: float = 4.0
    home_bias_seconds: float = 0.03
    remote_bias_seconds: float = 0.01
    small_shared_tokens: int = 1000
    late_wait_part: float = 0.2

    def part_of(self, *, yields: bool, is_over: bool) -> float:
        """Returns the part of its target latency by which a first event is to come.

        Args:
            yields: Whether the account sends more urgent requests.
            is_over: Whether the account was given its share already.
        """
        part = self.over_share_part if is_over else self.target_part
        return self.yield_ratio * part if yields else part


DEFAULT_POLICY = PlacingPolicy()
