"""Weights and limits by which prompts are placed, held back or refused."""

import attrs


@attrs.define(frozen=True, kw_only=True)
class PlacingPolicy:
    """One way of placing; experiments compare several, instances use the defaults.

    Attributes:
        held_part: Requests that an engine may hold, as a part of its slots. Those beyond the
            slots wait there, so that a slot is taken at once when it becomes free, not only
            after the instances have heard of it.
        target_part: Part of the time that a prompt can spare, its target latency less the time
            that it takes on an idle engine, for which it may wait to be read.
        over_share_part: The same for accounts that were given their share already.
        yield_ratio: What is left of these parts while the same account sends more urgent
            requests, so that room is left for those.
        patience_part: Part of the target latency after which a request is refused.
        reread_weight: Weight of reading a shared part again, against waiting for as long.
        home_bias_seconds: Wait that an engine must save for each place that it comes later in
            the order of a prompt's homes.
        home_ranks: Places of that order that are told apart.
        remote_bias_seconds: Wait that an engine in another failure domain must save, for the
            bytes between the two.
        small_shared_tokens: Shared parts up to this length are read once in each failure
            domain.
        late_wait_part: Wait before reading that a prompt may have which can't be on time, as a
            part of the latency that it would have to meet.
    """

    held_part: float = 1.5
    target_part: float = 0.75
    over_share_part: float = 0.25
    yield_ratio: float = 0.7
    patience_part: float = 0.25
    reread_weight: float = 4.0
    home_bias_seconds: float = 0.09
    home_ranks: int = 3
    remote_bias_seconds: float = 0.01
    small_shared_tokens: int = 1000
    late_wait_part: float = 0.2

    def part_of(self, *, yields: bool, is_over: bool) -> float:
        """Returns the part of the time that a prompt can spare for which it may wait.

        Args:
            yields: Whether the account sends more urgent requests.
            is_over: Whether the account was given its share already.
        """
        part = self.over_share_part if is_over else self.target_part
        return self.yield_ratio * part if yields else part


DEFAULT_POLICY = PlacingPolicy()
