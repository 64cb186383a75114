"""Weights and limits that decide where prompts are placed, and which wait or are refused."""

import attrs


@attrs.define(frozen=True, kw_only=True)
class PlacingPolicy:
    """Weights and limits of prompt placement.

    Instances use the defaults; experiments compare several policies. Names that end in `part` are
    fractions, apart from `held_part`, which can exceed 1. The target latency of a prompt is the
    target time to the first event of its response. Its spare time is the target latency less the
    time since it arrived and the time to the first event on an idle engine. The home order of a
    prompt ranks the engines by a hash of its last shared part (`order_homes`).

    Attributes:
        held_part: Number of requests that an engine may hold, as a multiple of its slots. Those
            beyond the slots wait at the engine, so that a free slot is taken at once, not only
            after the instances have learned of it.
        target_part: Fraction of its spare time that a prompt may wait before its prefill.
        over_share_part: The same fraction for accounts that have used up their share.
        yield_ratio: Factor on both fractions while the same account sends more urgent requests,
            which keeps capacity free for those.
        patience_part: Fraction of the target latency after which a waiting request is refused.
        reread_weight: Penalty for the prefill of shared parts that an engine has not cached, as a
            multiple of the time that it takes; added to that time.
        fetch_weight: Weight of the time in which an engine fetches cached parts from another.
        home_bias_part: Wait that an engine must save for each rank that it is further down the home
            order, as a multiple of the time in which it processes the shared parts.
        home_ranks: Rank in the home order from which on engines are treated alike.
        remote_bias_seconds: Wait that an engine in another failure domain must save, to make up
            for the traffic between failure domains.
        small_shared_tokens: Total length of shared parts up to which a prompt prefers engines in
            its own failure domain, so that the parts are processed once in each domain.
        late_wait_part: Maximum wait of a prompt that cannot meet its target, as a fraction of
            the target latency times `wait_fraction`.
    """

    held_part: float = 1.5
    target_part: float = 0.75
    over_share_part: float = 0.25
    yield_ratio: float = 0.7
    patience_part: float = 0.25
    reread_weight: float = 4.0
    fetch_weight: float = 2.0
    home_bias_part: float = 1.2
    home_ranks: int = 3
    remote_bias_seconds: float = 0.01
    small_shared_tokens: int = 1000
    late_wait_part: float = 0.2

    def wait_fraction(self, *, has_more_urgent: bool, is_over: bool) -> float:
        """Returns the fraction of its spare time that a prompt may wait.

        Args:
            has_more_urgent: Whether its account sends more urgent requests.
            is_over: Whether its account has used up its share.
        """
        fraction = self.over_share_part if is_over else self.target_part
        return self.yield_ratio * fraction if has_more_urgent else fraction


DEFAULT_POLICY = PlacingPolicy()
