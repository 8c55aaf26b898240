"""Learns how much filling tasks disturb tasks that must answer in time."""

from radishlanding.policy.estimate import Estimate
from radishlanding.policy.image_profile import ImageProfile

# Weight of an image before it was seen, about what one that disturbs shows,
# and the standard error of that guess.
PRIOR_WEIGHT = 8.0
PRIOR_WEIGHT_STD_ERROR = 10.0
# Observations after which an image is known.
KNOWN_AFTER = 5
# Standard error of a weight that another process has learnt.
RESTORED_ERROR = 2.0
# Change of a weight from one observation to the next, as how much an image
# disturbs changes within seconds.
WEIGHT_DRIFT = 0.45
# The same of a serving task's headroom without filling tasks: its load swings
# within tens of seconds.
BASE_DRIFT = 0.5
# Error of a single figure, as a share of the headroom it stands for.
FIGURE_ERROR = 0.12
# Headroom of a serving task before any figure, and its standard error.
UNKNOWN_BASE = 3.0
UNKNOWN_BASE_ERROR = 2.0
# Beyond this, tails are too short for differences to say much.
MAX_HEADROOM = 8.0
# Loads below this share of a VM count as none.
MIN_LOAD = 0.02
# Images up to this weight may run beside serving tasks at full speed: one
# task on a tenth of a VM takes less than half of what the bound stands for.
LIGHT_WEIGHT = 4.5
# An image that counted as light does so up to this weight.
STILL_LIGHT_WEIGHT = 5.5


def headroom_of(share):
    """Return the headroom that a tail latency leaves.

    Tails grow like 1 / (1 - utilisation), so that the reciprocal falls in
    proportion to what is added, whatever was there before.

    :param share: Tail latency as a share of its bound, above 0.
    :returns: The bound as a multiple of the tail latency: 1 at the bound.
    """
    return min(MAX_HEADROOM, 1 / share)


class Interference:
    """Hold a weight for each image of filling tasks.

    The weight is by how much the headroom of serving tasks falls where tasks
    of the image use a whole VM. It is fitted from figures that lag by half a
    second, for all VMs together, beside the headroom that each serving task
    has by itself: a Kalman filter that leaves out covariances.
    """

    __slots__ = ("_bases", "_counts", "_light", "_weights")

    def __init__(self):
        """Start without observations."""
        self._bases = {}
        self._counts = {}
        self._light = set()
        self._weights = {}

    def weight(self, image):
        """Return the weight of an image."""
        estimate = self._weights.get(image)
        return PRIOR_WEIGHT if estimate is None else estimate.value

    def is_known(self, image):
        """Return whether an image was seen often enough."""
        return self._counts.get(image, 0) >= KNOWN_AFTER

    def is_light(self, image):
        """Return whether an image is known to disturb hardly."""
        return image in self._light

    def headroom_cost(self, step, capacity):
        """Return how much one task of a filling step disturbs a VM.

        :param step: A :class:`radishlanding.workflow.Step`.
        :param capacity: Capacity of the VM.
        :returns: The headroom that it takes at full speed.
        """
        if not step.fills or not capacity.millicores:
            return 0.0
        share = step.needs.millicores / capacity.millicores
        return self.weight(step.image) * share

    def observe(self, serving, filling):
        """Take the figures of one VM.

        :param serving: Pairs of a serving task's name and its tail latency
            as a share of its bound.
        :param filling: Share of the VM's processors that the tasks of each
            image used.
        """
        loads = {
            image: load for image, load in filling.items() if load > MIN_LOAD
        }
        if serving:
            for image in loads:
                self._see(image)
        for task, share in serving:
            if share > 0:
                self._fit(task, headroom_of(share), loads)
        for image in loads:
            self._classify(image)

    def _see(self, image):
        """Count an observation of an image, whose weight may have changed."""
        self._counts[image] = self._counts.get(image, 0) + 1
        weight = self._weights.setdefault(
            image, Estimate(PRIOR_WEIGHT, PRIOR_WEIGHT_STD_ERROR**2)
        )
        weight.variance = min(
            PRIOR_WEIGHT_STD_ERROR**2, weight.variance + WEIGHT_DRIFT**2
        )

    def _fit(self, task, headroom, loads):
        """Correct a base and the weights by one serving task's headroom."""
        base = self._bases.setdefault(
            task, Estimate(UNKNOWN_BASE, UNKNOWN_BASE_ERROR**2)
        )
        base.variance += BASE_DRIFT**2
        taken = sum(self.weight(image) * load for image, load in loads.items())
        error = headroom - (base.value - taken)
        spread = (
            base.variance
            + sum(
                self._weights[image].variance * load**2
                for image, load in loads.items()
            )
            + (FIGURE_ERROR * max(1.0, headroom)) ** 2
        )
        gain = base.variance / spread
        base.value += gain * error
        base.variance *= 1 - gain
        for image, load in loads.items():
            weight = self._weights[image]
            gain = weight.variance * load / spread
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * load

    def _classify(self, image):
        bound = STILL_LIGHT_WEIGHT if image in self._light else LIGHT_WEIGHT
        if self.is_known(image) and self.weight(image) <= bound:
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
        """Take what another process has learnt of images not seen here.

        :param profiles: :class:`ImageProfile` objects.
        """
        for profile in profiles:
            if profile.image in self._weights:
                continue
            self._weights[profile.image] = Estimate(
                profile.weight, RESTORED_ERROR**2
            )
            self._counts[profile.image] = profile.observations
            if profile.is_light:
                self._light.add(profile.image)

    @property
    def serving_tasks(self):
        """Return the names of the serving tasks whose headroom is known."""
        return set(self._bases)

    def retain_baselines(self, tasks):
        """Drop what is known of serving tasks that have ended.

        :param tasks: Names of those that have not.
        """
        self._bases = {
            task: base for task, base in self._bases.items() if task in tasks
        }
