"""Compares the run times of siblings on different VMs."""

import collections
import math

from radishlanding.policy.sibling_means import SiblingMeans

# Steps whose observations are kept, the least recently used are dropped.
MAX_STEPS = 500
# Other VMs, and work on them in whole tasks, that a comparison needs.
MIN_OTHER_VMS = 2
MIN_OTHER_WEIGHT = 0.3


class SiblingSpeeds:
    """Keep the mean run time of each step's tasks on each VM."""

    __slots__ = ("_steps",)

    def __init__(self):
        """Start without observations."""
        self._steps = collections.OrderedDict()

    def compare(self, step, vm, *, run_ms, weight):
        """Add an observation, and compare it with those on other VMs.

        :param step: Key of the step.
        :param vm: Identity of the VM.
        :param run_ms: Run time of a whole task at full pace, in milliseconds,
            above 0.
        :param weight: Share of the task's work that was observed, above 0.
        :returns: Logarithm of the factor by which the task runs longer than
            its siblings elsewhere, None if too little is known of them.
        """
        value = math.log(run_ms)
        means = self._steps.get(step)
        if means is None:
            means = self._steps[step] = SiblingMeans()
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        self._steps.move_to_end(step)
        others, other_weight, mean = means.without(vm)
        means.add(vm, value, weight)
        if others < MIN_OTHER_VMS or other_weight < MIN_OTHER_WEIGHT:
            return None
        return value - mean
