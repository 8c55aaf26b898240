"""Observed run times of a step, an image or a queue."""

import dataclasses
import math

# Logarithm of more milliseconds, or of a larger ratio, than any task can have.
MAX_MEAN = 40.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RunTimeRow:
    """Weighted moments of run times, as they are stored.

    They are of natural logarithms, as run times differ by factors: of the run
    time in milliseconds, and of its ratio to the caller's estimate.

    :param name: Step, image or queue that the row is about.
    :param weight: Weight of the observations, without those forgotten.
    :param mean: Mean of the run times.
    :param deviation: Weighted sum of squared deviations from the mean.
    :param ratio_weight: As ``weight``, where the caller gave an estimate.
    :param ratio_mean: Mean of the ratios.
    :param ratio_deviation: As ``deviation``, of the ratios.
    :param is_shared: Whether a step's row was counted for image and queue.
    """

    name: str
    weight: float = 0.0
    mean: float = 0.0
    deviation: float = 0.0
    ratio_weight: float = 0.0
    ratio_mean: float = 0.0
    ratio_deviation: float = 0.0
    is_shared: bool = False

    def add(self, value, *, estimate, weight, max_weight):
        """Add an observation, and forget old ones beyond a total weight.

        :param value: Logarithm of the run time.
        :param estimate: Logarithm of the caller's estimate, None for none.
        :param weight: Weight of the observation, above 0.
        :param max_weight: Total weight that is kept.
        """
        self.weight, self.mean, self.deviation = _add(
            (self.weight, self.mean, self.deviation), value, weight, max_weight
        )
        if estimate is not None:
            self.ratio_weight, self.ratio_mean, self.ratio_deviation = _add(
                (self.ratio_weight, self.ratio_mean, self.ratio_deviation),
                value - estimate,
                weight,
                max_weight,
            )

    @property
    def is_plausible(self):
        """Return whether a row from the store can be reckoned with."""
        sums = (
            self.weight,
            self.deviation,
            self.ratio_weight,
            self.ratio_deviation,
        )
        means = self.mean, self.ratio_mean
        return all(0 <= item < math.inf for item in sums) and all(
            abs(item) <= MAX_MEAN for item in means
        )


def _add(moments, value, weight, max_weight):
    """Return the moments with one more value.

    :param moments: Weight, mean and sum of squared deviations.
    """
    total, mean, deviation = moments
    kept = min(1.0, max(0.0, max_weight - weight) / total) if total else 1.0
    total = total * kept + weight
    difference = value - mean
    mean += difference * weight / total
    deviation = deviation * kept + weight * difference * (value - mean)
    return total, mean, deviation
