"""Learns how best-effort tasks slow down latency-critical ones."""

from radishlanding.policy.estimate import Estimate
from radishlanding.policy.image_profile import ImageProfile

# Weight of an image before its first observation, about that of a heavy
# image, and its standard error.
PRIOR_WEIGHT = 8.0
PRIOR_WEIGHT_STD_ERROR = 10.0
# Observations after which the weight of an image counts as known.
MIN_OBSERVATIONS = 5
# Standard error of a weight that another process has learned.
RESTORED_STD_ERROR = 2.0
# Standard deviation of a weight's change between two observations; how much
# an image interferes changes within seconds.
WEIGHT_DRIFT = 0.45
# The same for the baseline of a serving task, whose load changes within tens
# of seconds.
BASELINE_DRIFT = 0.5
# Standard error of one measurement, as a share of the headroom, which counts
# as 1 at least.
MEASUREMENT_ERROR = 0.12
# Baseline of a serving task before any measurement, and its standard error.
PRIOR_BASELINE = 3.0
PRIOR_BASELINE_STD_ERROR = 2.0
# Headroom that placement leaves to serving tasks: a tail latency of 0.7 of its
# target. The baseline may fall within seconds, and paces follow late.
PLACEMENT_RESERVE = 1.4
# Headroom that serving tasks without measurements spare: with it a tail
# latency rises from half of its target, which is usual, to three quarters.
DEFAULT_SPARE_HEADROOM = 0.7
# Above this share of the target the VM is saturated: tail latencies then grow
# with the time that it lasts, and say nothing about the added load.
MAX_LEARNED_SHARE = 2.0
# Beyond this, tail latencies are too short for differences to say much.
MAX_HEADROOM = 8.0
# Smaller shares of a VM's processors count as none.
MIN_CPU_SHARE = 0.02
# Images up to this weight may run beside serving tasks at full speed: one
# task on a tenth of a VM takes less than half of the headroom that there is
# at the latency target.
LIGHT_WEIGHT = 4.5
# Hysteresis: an image that is classified as light stays so up to this weight.
STILL_LIGHT_WEIGHT = 5.5


def headroom_of(share):
    """Return the headroom that a tail latency leaves.

    Tail latency grows like 1 / (1 - utilisation), so its reciprocal falls in
    proportion to added load, whatever the load was before.

    :param share: Tail latency as a share of its target, above 0.
    :returns: The target as a multiple of the tail latency: 1 at the target,
        at most ``MAX_HEADROOM``.
    """
    return min(MAX_HEADROOM, 1 / share)


class Interference:
    """Estimate a weight for each image of best-effort tasks.

    The weight is how much the headroom of serving tasks falls where tasks of
    the image use a whole VM. Weights are fitted over all VMs together with
    the baseline of each serving task, its headroom without best-effort
    tasks, by a Kalman filter without covariances. The measurements lag by
    half a second.
    """

    __slots__ = ("_baselines", "_counts", "_light", "_weights")

    def __init__(self):
        """Start without observations."""
        self._baselines = {}
        self._counts = {}
        self._light = set()
        self._weights = {}

    def weight(self, image):
        """Return the weight of an image."""
        estimate = self._weights.get(image)
        return PRIOR_WEIGHT if estimate is None else estimate.value

    def is_known(self, image):
        """Return whether an image was observed often enough."""
        return self._counts.get(image, 0) >= MIN_OBSERVATIONS

    def is_light(self, image):
        """Return whether an image is known to interfere little."""
        return image in self._light

    def headroom_cost(self, step, capacity):
        """Return the headroom that one task of a step takes at full speed.

        :param step: A :class:`radishlanding.workflow.Step`.
        :param capacity: Capacity of the VM.
        :returns: The headroom, 0 for tasks that are not best-effort.
        """
        if not step.fills or not capacity.millicores:
            return 0.0
        share = step.needs.millicores / capacity.millicores
        return self.weight(step.image) * share

    def spare_headroom(self, task_ids):
        """Return the headroom that serving tasks can spare.

        :param task_ids: Ids of the serving tasks of one VM.
        :returns: What best-effort tasks may take from them in total.
        """
        known = [
            self._baselines[task_id].value
            for task_id in task_ids
            if task_id in self._baselines
        ]
        if not known:
            return DEFAULT_SPARE_HEADROOM
        return max(0.0, min(known) - PLACEMENT_RESERVE)

    def observe(self, serving, best_effort):
        """Process the measurements of one VM.

        :param serving: Pairs of a serving task's id and its tail latency as
            a share of its target.
        :param best_effort: Share of the VM's processors that the tasks of
            each image used.
        """
        cpu_shares = {
            image: cpu_share
            for image, cpu_share in best_effort.items()
            if cpu_share > MIN_CPU_SHARE
        }
        if serving:
            for image in cpu_shares:
                self._count_observation(image)
        for task_id, share in serving:
            if 0 < share <= MAX_LEARNED_SHARE:
                self._correct(task_id, headroom_of(share), cpu_shares)
        for image in cpu_shares:
            self._classify(image)

    def _count_observation(self, image):
        """Count an observation, and widen the variance by the drift."""
        self._counts[image] = self._counts.get(image, 0) + 1
        weight = self._weights.setdefault(
            image, Estimate(PRIOR_WEIGHT, PRIOR_WEIGHT_STD_ERROR**2)
        )
        weight.variance = min(
            PRIOR_WEIGHT_STD_ERROR**2, weight.variance + WEIGHT_DRIFT**2
        )

    def _correct(self, task_id, headroom, cpu_shares):
        """Correct a baseline and the weights by one measured headroom."""
        baseline = self._baselines.setdefault(
            task_id, Estimate(PRIOR_BASELINE, PRIOR_BASELINE_STD_ERROR**2)
        )
        baseline.variance += BASELINE_DRIFT**2
        cost = sum(
            self.weight(image) * cpu_share
            for image, cpu_share in cpu_shares.items()
        )
        error = headroom - (baseline.value - cost)
        error_variance = (
            baseline.variance
            + sum(
                self._weights[image].variance * cpu_share**2
                for image, cpu_share in cpu_shares.items()
            )
            + (MEASUREMENT_ERROR * max(1.0, headroom)) ** 2
        )
        gain = baseline.variance / error_variance
        baseline.value += gain * error
        baseline.variance *= 1 - gain
        for image, cpu_share in cpu_shares.items():
            weight = self._weights[image]
            gain = weight.variance * cpu_share / error_variance
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * cpu_share

    def _classify(self, image):
        limit = STILL_LIGHT_WEIGHT if image in self._light else LIGHT_WEIGHT
        if self.is_known(image) and self.weight(image) <= limit:
            self._light.add(image)
        else:
            self._light.discard(image)

    def profiles(self):
        """Return an :class:`ImageProfile` for each image that is known."""
        return [
            ImageProfile(
                image=image,
                weight=estimate.value,
                observations=self._counts[image],
                is_light=image in self._light,
            )
            for image, estimate in sorted(self._weights.items())
            if self.is_known(image)
        ]

    def restore(self, profiles):
        """Adopt the profiles of images that were not observed here.

        :param profiles: :class:`ImageProfile` objects of another process.
        """
        for profile in profiles:
            if profile.image in self._weights:
                continue
            self._weights[profile.image] = Estimate(
                profile.weight, RESTORED_STD_ERROR**2
            )
            self._counts[profile.image] = profile.observations
            if profile.is_light:
                self._light.add(profile.image)

    @property
    def serving_task_ids(self):
        """Return the ids of the serving tasks with a baseline."""
        return set(self._baselines)

    def retain_baselines(self, task_ids):
        """Drop the baselines of all other serving tasks.

        :param task_ids: Ids of the tasks that may still run.
        """
        self._baselines = {
            task_id: baseline
            for task_id, baseline in self._baselines.items()
            if task_id in task_ids
        }
