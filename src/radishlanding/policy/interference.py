"""Learns how much filling tasks disturb tasks that must answer in time."""

# An image that was never seen counts between a light and a heavy one, so that
# a task or two of it are tried beside serving tasks.
UNKNOWN_WEIGHT = 2.0
# Part of an error that one observation corrects.
LEARNING_RATE = 0.15
BASE_RATE = 0.05
# A single figure may be far off; errors count up to this.
MAX_ERROR = 1.0
# Keeps observations of next to no load from moving weights.
MIN_SQUARE = 0.01
# A tail latency at rest, as a share of its bound, before any was seen.
UNKNOWN_BASE = 0.45
# Loads below this share of a VM count as none.
MIN_LOAD = 0.005
# Images up to this weight may run beside serving tasks at full speed.
LIGHT_WEIGHT = 1.2


class Interference:
    """Hold a weight for each image of filling tasks.

    The weight is by how much the tail latency of a serving task grows, as a
    share of its bound, where tasks of the image use a whole VM. It is fitted
    from figures that lag by half a second, for all VMs together.
    """

    __slots__ = ("_bases", "_weights")

    def __init__(self):
        """Start without observations."""
        self._bases = {}
        self._weights = {}

    def weight(self, image):
        """Return the weight of an image."""
        return self._weights.get(image, UNKNOWN_WEIGHT)

    def is_light(self, image):
        """Return whether an image hardly disturbs."""
        return self.weight(image) <= LIGHT_WEIGHT

    def press(self, step, capacity):
        """Return how much one task of a filling step disturbs a VM.

        :param step: A :class:`radishlanding.workflow.Step`.
        :param capacity: Capacity of the VM.
        """
        if not step.fills or not capacity.millicores:
            return 0.0
        share = step.needs.millicores / capacity.millicores
        return self.weight(step.image) * share

    def observe(self, serving, filling):
        """Take the figures of one VM.

        :param serving: Pairs of image and tail latency as a share of its
            bound, one for each serving task.
        :param filling: Share of the VM's processors that the tasks of each
            image used.
        """
        loads = {
            image: load for image, load in filling.items() if load > MIN_LOAD
        }
        for image, share in serving:
            base = self._bases.get(image, UNKNOWN_BASE)
            if not loads:
                self._bases[image] = base + BASE_RATE * (share - base)
                continue
            expected = base + sum(
                self.weight(name) * load for name, load in loads.items()
            )
            error = max(-MAX_ERROR, min(MAX_ERROR, share - expected))
            square = MIN_SQUARE + sum(load**2 for load in loads.values())
            for name, load in loads.items():
                change = LEARNING_RATE * error * load / square
                self._weights[name] = max(0.0, self.weight(name) + change)
