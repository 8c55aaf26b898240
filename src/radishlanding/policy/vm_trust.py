"""Trust in VMs, by speed, failures and losses."""

import collections
import math

from radishlanding.policy.sibling_speeds import SiblingSpeeds
from radishlanding.policy.vm_conduct import VmConduct

# VMs below this trust are doubtful.
DOUBTFUL_TRUST = 0.5
# VMs below this trust are probed with few tasks.
FULL_TRUST = 0.8
# Largest share of a pool's VMs that may have less than full trust. Where more
# seem bad the cause is common to them, and only those that stand out count.
MAX_DISTRUSTED_SHARE = 1 / 3
# Share of a new sample in the moving mean of the slowness. Two tasks at a
# quarter of their speed make a VM doubtful, one as slow as data on another
# rack makes it (1.5 times) never does.
SLOWNESS_GAIN = 0.3
# Logarithm of a factor of 1.5, which data on another rack explains.
TOLERATED_SLOWNESS = 0.4
# Slowness beyond the tolerated one that halves the trust.
HALVING_SLOWNESS = 0.3
# Differences beyond a factor of four say nothing more.
MAX_SLOWNESS = math.log(4)
# Share of a new end in the moving mean of the failures: one failure has the
# VM probed, two in a row make it doubtful.
FAILURE_GAIN = 0.1
# Share of failed tasks, and number of losses, that halve the trust.
HALVING_FAILURES = 0.15
HALVING_LOSSES = 1.5
# Impairments of workers last 3 to 8 s, and hardly any much longer.
SLOWNESS_HALF_LIFE_S = 8.0
FAILURE_HALF_LIFE_S = 8.0
# A VM that was lost twice within a minute flaps.
LOSS_HALF_LIFE_S = 60.0
# Good observations that a VM which was doubtful needs for full trust, and the
# time after which it has that without them.
PROOFS = 3
PROBATION_S = 30.0
# Trust at most until then: such a VM is probed.
PROBATION_TRUST = 0.75
# VMs whose trust differs by less are equally bad.
SAME_TRUST = 0.05
# Trust above which nothing is held against a VM any more.
FORGOTTEN_TRUST = 0.99


class VmTrust:
    """Rate each VM from 0 to 1; one without observations has full trust.

    What is held against a VM fades with time, as it gets few tasks by which
    it could prove itself. After that it is probed with few tasks until some
    of them run well, or for ``PROBATION_S``.
    """

    __slots__ = ("_conducts", "_speeds")

    def __init__(self):
        """Start with full trust in all VMs."""
        self._conducts = {}
        self._speeds = SiblingSpeeds()

    def observe_run(self, vm, step, *, run_ms, weight, now_s):
        """Compare the run time of a task with those of siblings elsewhere.

        :param vm: Identity of the VM.
        :param step: Key of the step.
        :param run_ms: Run time of a whole task, measured at full pace, in
            milliseconds, above 0.
        :param weight: Share of the task's work that was observed, above 0.
        :param now_s: Monotonic time, in seconds.
        """
        slowness = self._speeds.compare(step, vm, run_ms=run_ms, weight=weight)
        if slowness is None or (slowness <= 0 and vm not in self._conducts):
            return
        conduct = self._conduct(vm, now_s)
        if slowness < TOLERATED_SLOWNESS:
            conduct.proofs_left = max(0, conduct.proofs_left - 1)
        slowness = min(MAX_SLOWNESS, max(0.0, slowness))
        conduct.slowness += SLOWNESS_GAIN * (slowness - conduct.slowness)

    def record_failure(self, vm, *, now_s):
        """Count a failure of a workflow that has failed on no other VM."""
        conduct = self._conduct(vm, now_s)
        conduct.failures += FAILURE_GAIN * (1 - conduct.failures)

    def withdraw_failure(self, vm, *, now_s):
        """Undo one failure, as the workflow has failed on another VM, too."""
        if vm in self._conducts:
            conduct = self._conduct(vm, now_s)
            before = (conduct.failures - FAILURE_GAIN) / (1 - FAILURE_GAIN)
            conduct.failures = max(0.0, before)

    def record_success(self, vm, *, now_s):
        """Process a task that is done."""
        if vm in self._conducts:
            conduct = self._conduct(vm, now_s)
            conduct.failures *= 1 - FAILURE_GAIN
            conduct.proofs_left = max(0, conduct.proofs_left - 1)

    def record_loss(self, vm, *, now_s):
        """Count that a VM was lost, or that its worker started again."""
        self._conduct(vm, now_s).losses += 1

    def _conduct(self, vm, now_s):
        """Return what is held against a VM now."""
        conduct = self._conducts.get(vm)
        if conduct is None:
            conduct = self._conducts[vm] = VmConduct(at_s=now_s)
        elapsed_s = max(0.0, now_s - conduct.at_s)
        conduct.at_s = now_s
        conduct.slowness *= 0.5 ** (elapsed_s / SLOWNESS_HALF_LIFE_S)
        conduct.failures *= 0.5 ** (elapsed_s / FAILURE_HALF_LIFE_S)
        conduct.losses *= 0.5 ** (elapsed_s / LOSS_HALF_LIFE_S)
        return conduct

    def trust(self, vm, *, now_s):
        """Return the trust in a VM, from 0 to 1.

        :param vm: Identity of the VM.
        :param now_s: Monotonic time, in seconds.
        """
        if vm not in self._conducts:
            return 1.0
        conduct = self._conduct(vm, now_s)
        halvings = (
            max(0.0, conduct.slowness - TOLERATED_SLOWNESS) / HALVING_SLOWNESS
            + conduct.failures / HALVING_FAILURES
            + conduct.losses / HALVING_LOSSES
        )
        trust = 0.5**halvings
        if trust < DOUBTFUL_TRUST:
            conduct.proofs_left = PROOFS
            conduct.doubted_s = now_s
        elif now_s - conduct.doubted_s > PROBATION_S:
            conduct.proofs_left = 0
        return min(trust, PROBATION_TRUST) if conduct.proofs_left else trust

    def conduct(self, vm):
        """Return the :class:`VmConduct` of a VM, None if it has none."""
        return self._conducts.get(vm)

    def rated_vms(self):
        """Return the VMs against which anything is held."""
        return list(self._conducts)

    def rate(self, loads, *, now_s):
        """Set the trust of loads, and leave most VMs of a pool with full one.

        :param loads: :class:`VmLoad` objects of the VMs that may take tasks.
        :param now_s: Monotonic time, in seconds.
        """
        if not self._conducts:
            return
        distrusted = collections.defaultdict(list)
        for load in loads:
            load.trust = self.trust(load.vm, now_s=now_s)
            if load.trust < FULL_TRUST:
                distrusted[load.pool].append(load)
        sizes = collections.Counter(load.pool for load in loads)
        for pool, group in distrusted.items():
            group.sort(key=lambda load: (load.trust, load.vm))
            most = _max_distrusted(sizes[pool])
            if len(group) > most:
                limit = group[most].trust - SAME_TRUST
                for load in group:
                    if load.trust > limit:
                        load.trust = 1.0

    def prune(self, *, now_s):
        """Drop what has faded.

        :param now_s: Monotonic time, in seconds.
        """
        self._conducts = {
            vm: conduct
            for vm, conduct in self._conducts.items()
            if self.trust(vm, now_s=now_s) < FORGOTTEN_TRUST
            or conduct.slowness > SLOWNESS_GAIN * TOLERATED_SLOWNESS
        }


def _max_distrusted(size):
    """Return how many VMs of a pool may have less than full trust."""
    if size < 2:
        return 0
    return max(1, int(size * MAX_DISTRUSTED_SHARE))
