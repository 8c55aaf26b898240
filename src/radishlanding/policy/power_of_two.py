"""Power-of-two-choices routing."""


class PowerOfTwo:
    """Compare two random targets by expected wait.

    Source: Mitzenmacher, The Power of Two Choices in Randomized Load
    Balancing, IEEE TPDS 2001.
    """

    __slots__ = ("_random",)

    def __init__(self, *, random):
        """Prepare the policy.

        :param random: A :class:`random.Random`.
        """
        self._random = random

    def choose(self, targets):
        """Return the better of two random targets, None without any.

        A target with a free slot is better than one without.
        """
        if not targets:
            return None
        pair = self._random.sample(targets, min(2, len(targets)))
        return min(pair, key=_expected_wait)


def _expected_wait(target):
    is_full = target.outstanding >= target.slots
    return is_full, (target.outstanding + 1) * max(target.latency_ms, 1.0)
