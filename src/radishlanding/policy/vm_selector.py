"""Selects VMs for the tasks of a step."""

import heapq

from radishlanding.policy.refusal import Refusal
from radishlanding.policy.vm_trust import DOUBTFUL_TRUST
from radishlanding.policy.vm_trust import FULL_TRUST

# Share of its processors that a best-effort task must find idle to start.
MIN_IDLE_SHARE = 0.6
# Headroom that the best-effort tasks of a VM may lack in total, as those
# behind in precedence leave it to others: about that of one heavy task. Those
# that are paced down keep their memory.
MAX_LACK = 1.0
# Of the VMs with serving tasks, one in this many may try a best-effort image
# that is not known yet, but one at least.
VMS_PER_TRIAL = 16
# Tasks without an end on a VM of less than full trust that is probed; further
# ones go to trusted VMs first.
PROBE_TASKS = 1


class VmSelector:
    """Choose VMs for a step, by their capacity and by interference.

    All VMs are ranked once. While a selector is in use, only the VMs that it
    has chosen may change, so that a further task costs no further ranking.
    """

    __slots__ = (
        "_admits_stuck",
        "_avoided_vms",
        "_cost_behind",
        "_doubtful_left",
        "_heap",
        "_interference",
        "_is_light",
        "_forced_left",
        "_is_starved",
        "_key",
        "_step",
        "_trials_left",
        "is_held_back",
    )

    def __init__(
        self,
        *,
        interference,
        key,
        step,
        vms,
        is_starved=False,
        max_doubtful=None,
        cost_behind=None,
        avoided_vms=frozenset(),
    ):
        """Rank the VMs for the tasks of a step.

        :param interference: An :class:`Interference`.
        :param key: Workflow, occurrence and step of the tasks.
        :param step: The :class:`radishlanding.workflow.Step`.
        :param vms: The :class:`VmLoad` objects to choose from; the first of
            equally good ones is preferred.
        :param is_starved: Whether no task of the workflow has run for some
            time. One of its best-effort tasks, a whole gang or all standing
            tasks may then run wherever they fit, the others where no
            best-effort task runs yet. VMs that are probed after a quarantine
            may then be chosen, and those on which tasks are stuck if they
            are at least half of the VMs that suit the step; other VMs that
            admit a task go first.
        :param max_doubtful: Tasks of the step that doubtful VMs may have
            together, None for no limit.
        :param cost_behind: Callable that takes a VM and returns the headroom
            that its tasks behind those of the step in precedence take, which
            they will have to leave to them; None if they are to keep it.
        :param avoided_vms: Identities of VMs that have not run attempts of
            the workflow. They are chosen only if it is starved, after others.
        """
        # Whether the limit has kept a doubtful VM from being chosen.
        self.is_held_back = False
        self._avoided_vms = avoided_vms
        self._cost_behind = cost_behind
        self._doubtful_left = None
        if max_doubtful is not None and not is_starved:
            self._doubtful_left = max_doubtful - sum(
                vm.steps.get(key, 0) for vm in vms if is_doubtful(vm)
            )
        self._admits_stuck = is_starved and _are_many_stuck(step, vms)
        self._interference = interference
        self._is_light = interference.is_light(step.image)
        self._is_starved = is_starved
        self._forced_left = _count_forced(step) if is_starved else 0
        self._key = key
        self._step = step
        self._trials_left = self._count_trials_left(vms)
        self._heap = [
            self._entry(number, vm)
            for number, vm in enumerate(vms)
            if self._admits(vm)
        ]
        heapq.heapify(self._heap)

    def choose(self, *, avoided_vm=""):
        """Return the best VM for one more task, or None.

        The caller adds the task to the VM and calls :meth:`restore`. A
        doubtful VM gets one task at a time, so that :meth:`restore` can
        count them.

        :param avoided_vm: Identity of a VM that is chosen only if no other
            one is left.
        """
        best = self._pop()
        if best is not None and best.vm == avoided_vm:
            other = self._pop()
            if other is not None:
                self._push(best)
                return other
        return best

    def _pop(self):
        """Remove and return the best VM that admits a task, or None."""
        while self._heap:
            vm = heapq.heappop(self._heap)[-1]
            if self._admits(vm):
                return vm
        return None

    def restore(self, vm):
        """Make a chosen VM available for another task.

        :param vm: The :class:`VmLoad`, with the tasks placed so far.
        """
        if self._trials_left is not None and vm.serving_tasks:
            self._trials_left -= self._is_trial(vm)
        if self._step.fills:
            self._forced_left = max(0, self._forced_left - 1)
        if self._doubtful_left is not None:
            self._doubtful_left -= is_doubtful(vm)
        self._push(vm)

    def _push(self, vm):
        if self._admits(vm):
            # Of equally good VMs those that were not chosen yet go first.
            heapq.heappush(self._heap, self._entry(len(self._heap), vm))

    def _entry(self, number, vm):
        """Return a heap entry; the smallest one is the best."""
        is_last = (
            vm.is_stuck or vm.has_all_new_tasks or vm.vm in self._avoided_vms
        )
        cost = (is_last, *(-part for part in self._score(vm)))
        return cost, number, vm.vm, vm

    def _count_trials_left(self, vms):
        """Return how many more VMs may try the step's image.

        An image that is not known yet runs beside serving tasks on a few VMs
        only, one task on each; the others wait for the measurements.

        :returns: The number, None if the image is known.
        """
        if not self._step.fills or self._interference.is_known(
            self._step.image
        ):
            return None
        serving = [vm for vm in vms if vm.serving_tasks]
        trials = sum(map(self._is_trial, serving))
        return max(1, len(serving) // VMS_PER_TRIAL) - trials

    def _is_trial(self, vm):
        return bool(vm.best_effort_tasks.get(self._step.image, 0))

    def _has_best_effort(self, vm):
        return any(vm.best_effort_tasks.values())

    def _admits(self, vm):
        """Return whether a VM may take one more task."""
        if vm.is_stuck and not self._admits_stuck:
            return False
        if self._is_avoided(vm):
            return False
        if self._step.fills and self._best_effort_refusal(vm):
            return False
        if self._load_refusal(vm) is not None:
            return False
        if self._exceeds_limit(vm):
            self.is_held_back = True
            return False
        return True

    def _is_avoided(self, vm):
        return vm.vm in self._avoided_vms and not self._is_starved

    def _load_refusal(self, vm):
        return vm.refusal(
            self._key, self._step, exceeds_probes=self._is_starved
        )

    def _exceeds_limit(self, vm):
        """Return whether the doubtful VMs have their share of the step."""
        return (
            self._doubtful_left is not None
            and self._doubtful_left <= 0
            and is_doubtful(vm)
        )

    def refusal(self, vm):
        """Return why a VM may not take one more task, or None.

        :param vm: A :class:`VmLoad`.
        :returns: A :class:`Refusal` or None.
        """
        if vm.is_stuck and not self._admits_stuck:
            return Refusal.STUCK
        if self._is_avoided(vm):
            return Refusal.AVOIDED
        refusal = self._load_refusal(vm)
        if refusal is None and self._step.fills:
            refusal = self._best_effort_refusal(vm)
        if refusal is None and self._exceeds_limit(vm):
            return Refusal.DOUBTFUL
        return refusal

    def _best_effort_refusal(self, vm):
        """Return why a best-effort task may not go to a VM where it fits.

        Beside serving tasks best-effort tasks take no more headroom than the
        serving tasks can spare, unless their workflow is starved.
        """
        if self._forced_left:
            return None
        if not self._is_idle(vm):
            return Refusal.IDLE_PROCESSORS
        if not vm.serving_tasks:
            return None
        if self._is_starved and not self._has_best_effort(vm):
            return None
        if self._trials_left is not None:
            if self._trials_left > 0 and not self._is_trial(vm):
                return None
            return Refusal.UNKNOWN_IMAGE
        cost = self._interference.headroom_cost(self._step, vm.capacity)
        excess = vm.headroom_cost + cost - vm.spare_headroom
        if 0 < excess <= MAX_LACK and self._cost_behind is not None:
            excess -= self._cost_behind(vm)
        return Refusal.HEADROOM if excess > 0 else None

    def _is_idle(self, vm):
        """Return whether a VM has idle processors for a best-effort task."""
        needed = self._step.needs.millicores * MIN_IDLE_SHARE
        return vm.idle_millicores >= needed

    def _score(self, vm):
        """Return how well a VM suits a task; higher is better.

        Serving tasks go to VMs with serving tasks, and so do light
        best-effort tasks and tasks that are neither, so that whole VMs are
        left to heavy best-effort tasks. Of the VMs with serving tasks, a
        serving task prefers the one with the most free processors; of the
        others, the one with the least interference, then the one with the
        most free processors. The tightest fit would fill VMs one by one, and
        steps that limit their tasks per VM would then have to use VMs
        without serving tasks.

        A VM with the data of the step goes before all others, but for those
        of less trust, and those without idle processors, which are the last
        that a best-effort task goes to.
        """
        step = self._step
        is_local = vm.has_local_data(step)
        trust = _trust_rank(vm, step)
        if step.latency_target_ms:
            cost_rank = 0.0 if vm.serving_tasks else -vm.headroom_cost
            free = vm.free.millicores
            return trust, is_local, vm.serving_tasks > 0, cost_rank, free
        is_idle = not step.fills or self._is_idle(vm)
        if step.fills and not self._is_light:
            left = vm.spare_headroom if vm.serving_tasks else 0.0
            left -= vm.headroom_cost
            idle = vm.idle_millicores
            is_free = not vm.serving_tasks
            return is_idle, trust, is_local, is_free, left, idle
        idle = vm.idle_millicores
        return is_idle, trust, is_local, vm.serving_tasks > 0, idle


def is_doubtful(vm):
    """Return whether a VM is to get no more than half of a step."""
    return vm.trust < DOUBTFUL_TRUST


def _trust_rank(vm, step):
    """Return a rank that is 0 for trusted VMs and least for doubtful ones.

    A VM between the two is probed with few finite tasks, and is for the
    others behind the trusted ones.
    """
    if vm.trust >= FULL_TRUST:
        return 0
    if is_doubtful(vm):
        return -2
    is_probe = vm.finite_tasks + vm.planned_tasks < PROBE_TASKS
    return 0 if is_probe and not step.standing else -1


def _are_many_stuck(step, vms):
    """Return whether tasks are stuck on half of the VMs that suit a step.

    Then the few others may be full for long, with most of the capacity free.
    """
    stuck = [vm.is_stuck for vm in vms if vm.suits(step)]
    return 2 * sum(stuck) >= len(stuck)


def _count_forced(step):
    """Return how many tasks of a starved step go wherever they fit.

    One task keeps its workflow going. The tasks of a gang only run together,
    and each standing task is to run.
    """
    return step.count if step.gang or step.standing else 1
