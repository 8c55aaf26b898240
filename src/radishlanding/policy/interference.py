"""Learns how much filling tasks disturb tasks that must answer in time."""

from radishlanding.policy.image_note import ImageNote

# An image that was seldom seen counts as one that disturbs.
UNKNOWN_WEIGHT = 4.0
# Observations after which an image is known.
KNOWN_AFTER = 5
# Part of an error that one observation corrects. How much an image disturbs
# changes within seconds, and what it once did it may do again: a weight
# rises fast and falls slowly.
RISING_RATE = 0.3
FALLING_RATE = 0.04
BASE_RATE = 0.3
# A single figure may be far off; errors count up to this.
MAX_ERROR = 2.0
# Keeps observations of next to no load from moving weights.
MIN_SQUARE = 0.002
# A tail latency at rest, as a share of its bound, before any was seen.
UNKNOWN_BASE = 0.4
# Loads below this share of a VM count as none.
MIN_LOAD = 0.02
# Images up to this weight may run beside serving tasks at full speed.
LIGHT_WEIGHT = 1.5
# An image that counted as light does so up to this weight.
STILL_LIGHT_WEIGHT = 2.5


class Interference:
    """Hold a weight for each image of filling tasks.

    The weight is by how much the tail latency of a serving task grows, as a
    share of its bound, where tasks of the image use a whole VM. It is fitted
    from figures that lag by half a second, for all VMs together, against
    what each serving task showed when nothing filled its VM.
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
        return self._weights.get(image, UNKNOWN_WEIGHT)

    def is_known(self, image):
        """Return whether an image was seen often enough."""
        return self._counts.get(image, 0) >= KNOWN_AFTER

    def is_light(self, image):
        """Return whether an image is known to disturb hardly."""
        return image in self._light

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

        :param serving: Pairs of a serving task's name and its tail latency
            as a share of its bound.
        :param filling: Share of the VM's processors that the tasks of each
            image used.
        """
        loads = {
            image: load for image, load in filling.items() if load > MIN_LOAD
        }
        if not loads:
            for task, share in serving:
                base = self._bases.setdefault(task, share)
                self._bases[task] = base + BASE_RATE * (share - base)
            return
        if serving:
            errors = [
                share - self._bases.get(task, UNKNOWN_BASE)
                for task, share in serving
            ]
            self._learn(sum(errors) / len(errors), loads)

    def _learn(self, growth, loads):
        """Fit the weights to the growth of tail latencies under loads."""
        expected = sum(
            self.weight(image) * load for image, load in loads.items()
        )
        error = max(-MAX_ERROR, min(MAX_ERROR, growth - expected))
        square = MIN_SQUARE + sum(load**2 for load in loads.values())
        for image, load in loads.items():
            count = self._counts[image] = self._counts.get(image, 0) + 1
            rate = RISING_RATE if error > 0 else FALLING_RATE
            rate = max(rate, 1 / (count + 1))
            change = rate * error * load / square
            self._weights[image] = max(0.0, self.weight(image) + change)
            self._classify(image)

    def _classify(self, image):
        bound = STILL_LIGHT_WEIGHT if image in self._light else LIGHT_WEIGHT
        if self.is_known(image) and self.weight(image) <= bound:
            self._light.add(image)
        else:
            self._light.discard(image)

    def notes(self):
        """Return an :class:`ImageNote` for each image that is known."""
        return [
            ImageNote(
                image=image,
                weight=weight,
                observations=self._counts[image],
                is_light=image in self._light,
            )
            for image, weight in sorted(self._weights.items())
            if self.is_known(image)
        ]

    def restore(self, notes):
        """Take what another process has learnt of images not seen here.

        :param notes: :class:`ImageNote` objects.
        """
        for note in notes:
            if note.image in self._weights:
                continue
            self._weights[note.image] = note.weight
            self._counts[note.image] = note.observations
            if note.is_light:
                self._light.add(note.image)

    def forget_bases(self, tasks):
        """Drop what is known of serving tasks that have ended.

        :param tasks: Names of those that have not.
        """
        self._bases = {
            task: base for task, base in self._bases.items() if task in tasks
        }
