"""Places the tasks of one step."""

import collections
import math

from radishlanding.policy.doubt_limit import DoubtLimit
from radishlanding.policy.gang_candidates import gang_candidates
from radishlanding.policy.last_tasks import has_last_tasks
from radishlanding.policy.refusal import Refusal
from radishlanding.policy.vm_selector import is_doubtful
from radishlanding.policy.vm_selector import VmSelector
from radishlanding.policy.vm_trust import FULL_TRUST
from radishlanding.workflow import Assignment

# A gang is assigned in one entry of the log. With some 150 bytes each, its
# assignments take what the other changes leave of 1 MiB.
MAX_GANG_TASKS = 2000


class StepPlacer:
    """Assign the tasks of a step to VMs, a gang as a whole."""

    __slots__ = (
        "_avoided_vms",
        "_clock_s",
        "_doubt_limit",
        "_interference",
        "_ranked_costs",
        "_tickets",
        "ranks",
    )

    def __init__(self, *, interference, tickets=None, clock_s=None):
        """Prepare a placer; see :class:`WorkflowPlanner`."""
        # VMs that moved tasks have left, by task until it is placed again.
        self._avoided_vms = {}
        self._clock_s = clock_s
        self._doubt_limit = DoubtLimit()
        self._interference = interference
        self._tickets = tickets
        # By VM, the largest rank on it, and rank and cost of each task.
        self._ranked_costs = {}
        # Ranks of best-effort steps by name, see TaskPrecedenceOrder.
        self.ranks = {}

    def begin_round(self):
        """Drop what is held of VMs, whose tasks may have changed."""
        self._ranked_costs = {}

    def avoid(self, task_id, vm):
        """Place a moved task on another VM next time, if one admits it.

        :param task_id: Identity of the task.
        :param vm: Identity of the VM that it leaves.
        """
        self._avoided_vms[task_id] = vm

    def prune(self, is_open):
        """Drop what is held of moved tasks that cannot run again.

        :param is_open: Callable that takes the id of a task.
        """
        self._avoided_vms = {
            task_id: vm
            for task_id, vm in self._avoided_vms.items()
            if is_open(task_id)
        }

    def place(
        self,
        record,
        position,
        vms,
        *,
        is_starved,
        orders,
        now_ms,
        avoided_vms=frozenset(),
    ):
        """Return assignments of a step's waiting tasks.

        Records are made of no more tasks than are placed, and one.

        :param record: Record of the workflow.
        :param position: Numbers of the occurrence and the step.
        :param vms: :class:`VmLoad` objects of the workflow's pool, which are
            updated as tasks are placed.
        :param is_starved: See :class:`VmSelector`.
        :param avoided_vms: See :class:`VmSelector`.
        :param orders: The :class:`OrderBudget` of the workflow; a gang is
            placed as a whole if it has no more than ``MAX_GANG_TASKS``.
        :param now_ms: Unix time, in milliseconds.
        :returns: :class:`radishlanding.workflow.Assignment` objects.
        """
        count = record.pending_count(*position)
        if not count or orders.is_spent:
            return []
        workflow = record.workflow
        step = workflow.steps[position[1]]
        key = (workflow.workflow_id, *position)
        allowed = self._permitted_vms(key, vms) if workflow.is_advised else vms
        tasks = record.iter_pending(*position)
        max_doubtful = self._doubt_limit.max_tasks(key, step, now_ms=now_ms)
        if step.gang:
            assignments = self._place_gang(
                key,
                step,
                tasks,
                allowed,
                failed_vms=record.failed_vms(*position),
                is_starved=is_starved,
                max_doubtful=max_doubtful,
                avoided_vms=avoided_vms,
            )
            if not assignments and any(map(is_doubtful, allowed)):
                self._doubt_limit.hold(key, now_ms=now_ms)
            for assignment in assignments:
                orders.take(assignment.vm)
            return assignments
        selector = self._selector(
            key,
            step,
            allowed,
            is_starved,
            max_doubtful=max_doubtful,
            cost_behind=self._cost_behind(record, position),
            avoided_vms=avoided_vms,
        )
        assignments = self._place_tasks(
            key, step, tasks, selector, orders, count
        )
        if selector.is_held_back and len(assignments) < count:
            self._doubt_limit.hold(key, now_ms=now_ms)
        return assignments

    def refusals(
        self, record, position, vms, *, is_starved, avoided_vms=frozenset()
    ):
        """Return how many VMs refuse a task of a step, by reason.

        :param record: Record of the workflow.
        :param position: Numbers of the occurrence and the step.
        :param vms: :class:`VmLoad` objects of the workflow's pool.
        :param is_starved: See :class:`VmSelector`.
        :param avoided_vms: See :class:`VmSelector`.
        :returns: Counts by :class:`Refusal`, with None for the VMs that
            would take the task.
        """
        workflow = record.workflow
        key = (workflow.workflow_id, *position)
        allowed = self._permitted_vms(key, vms) if workflow.is_advised else vms
        step = workflow.steps[position[1]]
        if step.gang and step.count > MAX_GANG_TASKS:
            return collections.Counter({Refusal.GANG_SIZE: len(vms)})
        selector = self._selector(
            key,
            step,
            allowed,
            is_starved,
            cost_behind=self._cost_behind(record, position),
            avoided_vms=avoided_vms,
        )
        counts = collections.Counter(map(selector.refusal, allowed))
        without_ticket = len(vms) - len(allowed)
        return counts + collections.Counter({Refusal.TICKET: without_ticket})

    def _permitted_vms(self, key, vms):
        """Return the VMs with a valid ticket for a step."""
        if self._tickets is None:
            return []
        now_s = self._clock_s()
        return [
            vm for vm in vms if self._tickets.ticket(key, vm.boot, now_s=now_s)
        ]

    def _place_tasks(self, key, step, tasks, selector, orders, count):
        """Place tasks one by one, as many in a row on a VM as share a message.

        Tasks that last and best-effort ones are spread in any case: their VM
        is chosen for what runs beside them.
        """
        together = 1
        if not step.fills and not step.standing:
            together = orders.tasks_per_vm(count)
        vm, left, assignments = None, 0, []
        for task in tasks:
            if orders.is_spent:
                break
            avoided_vm = self._avoided_vms.get(task.task_id, task.failed_vm)
            if (
                not left
                or avoided_vm == vm.vm
                or selector.refusal(vm) is not None
            ):
                if vm is not None:
                    selector.restore(vm)
                vm = selector.choose(avoided_vm=avoided_vm)
                left = together
            if vm is None:
                break
            self._add(vm, key, step)
            self._avoided_vms.pop(task.task_id, None)
            orders.take(vm.vm)
            left = left - 1 if vm.trust >= FULL_TRUST else 0
            assignments.append(_assign(task, vm, task.attempt + 1))
        return assignments

    def _cost_behind(self, record, position):
        """Return how the last tasks of a ranked step see a VM's headroom.

        They need not wait for headroom that tasks behind them in precedence
        take: the agent gives it to them.

        :returns: See :class:`VmSelector`.
        """
        name = ".".join(map(str, (record.workflow.workflow_id, *position)))
        rank = self.ranks.get(name)
        if rank is None or not has_last_tasks(record, *position):
            return None

        def cost_behind(vm):
            largest, costs = self._costs_by_rank(vm)
            if largest <= rank:
                return 0.0
            return sum(cost for other, cost in costs if other > rank)

        return cost_behind

    def _costs_by_rank(self, vm):
        """Return the largest rank on a VM, and rank and cost of each task."""
        found = self._ranked_costs.get(vm.vm)
        if found is None:
            costs = [
                (
                    self.ranks.get(name, math.inf),
                    self._interference.headroom_cost(step, vm.capacity),
                )
                for step, name in zip(
                    vm.best_effort_steps, vm.best_effort_names, strict=True
                )
            ]
            largest = max((rank for rank, _ in costs), default=-math.inf)
            found = self._ranked_costs[vm.vm] = largest, costs
        return found

    def _selector(
        self,
        key,
        step,
        vms,
        is_starved,
        *,
        max_doubtful=None,
        cost_behind=None,
        avoided_vms=frozenset(),
    ):
        return VmSelector(
            interference=self._interference,
            key=key,
            step=step,
            vms=vms,
            is_starved=is_starved,
            max_doubtful=max_doubtful,
            cost_behind=cost_behind,
            avoided_vms=avoided_vms,
        )

    def _place_gang(
        self,
        key,
        step,
        tasks,
        vms,
        *,
        failed_vms,
        is_starved,
        max_doubtful,
        avoided_vms,
    ):
        """Place all tasks of a gang, or none.

        They share one attempt number, above any earlier one of a member.
        """
        if step.count > MAX_GANG_TASKS or not _may_fit(step, vms):
            return []
        for group in gang_candidates(step, vms, failed_vms):
            chosen = self._try_gang(
                key, step, group, is_starved, max_doubtful, avoided_vms
            )
            if chosen:
                break
        else:
            return []
        members = list(tasks)
        attempt = 1 + max(task.attempt for task in members)
        return [
            _assign(task, vm, attempt)
            for task, vm in zip(members, chosen, strict=True)
        ]

    def _try_gang(self, key, step, vms, is_starved, max_doubtful, avoided_vms):
        selector = self._selector(
            key,
            step,
            vms,
            is_starved,
            max_doubtful=max_doubtful,
            avoided_vms=avoided_vms,
        )
        chosen = []
        for _ in range(step.count):
            vm = selector.choose()
            if vm is None:
                for earlier in chosen:
                    self._remove(earlier, key, step)
                return []
            self._add(vm, key, step)
            selector.restore(vm)
            chosen.append(vm)
        return chosen

    def _add(self, vm, key, step):
        vm.add(key, step)
        vm.headroom_cost += self._interference.headroom_cost(step, vm.capacity)

    def _remove(self, vm, key, step):
        vm.remove(key, step)
        vm.headroom_cost -= self._interference.headroom_cost(step, vm.capacity)


def _may_fit(step, vms):
    """Return whether the VMs might have room for all tasks of a step.

    The free capacity decides at the cost of one look at each VM, where the
    selector would place some of the tasks and take them back.
    """
    return sum(_room(step, vm) for vm in vms) >= step.count


def _room(step, vm):
    """Return how many tasks of a step the free capacity of a VM allows."""
    free, reserved = vm.free, step.reserved
    bounds = [step.max_per_vm or step.count]
    for part, needed in (
        (free.millicores, reserved.millicores),
        (free.memory_mb, reserved.memory_mb),
        (free.accelerators, reserved.accelerators),
    ):
        if needed:
            bounds.append(max(0, part // needed))
    return min(bounds)


def _assign(task, vm, attempt):
    return Assignment(
        task_id=task.task_id, attempt=attempt, vm=vm.vm, boot=vm.boot
    )
