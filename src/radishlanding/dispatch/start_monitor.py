"""Tracks which assigned attempts are known to run."""

import collections

from radishlanding.dispatch.start_state import StartState
from radishlanding.dispatch.waiting_attempt import WaitingAttempt
from radishlanding.policy import MAX_STALL_MS
from radishlanding.policy import RunClock
from radishlanding.policy import Stall
from radishlanding.vm import boot_clock_s


class StartMonitor:
    """Know for each open workflow for how long none of its attempts has run.

    An attempt counts as running from the first report that lists it as
    confirmed until its end is on record, except while its worker is silent
    or a later report lists it as unconfirmed.
    """

    __slots__ = (
        "_assigned_s",
        "_attempts",
        "_clock",
        "_confirmed",
        "_fleet",
        "_registry",
        "_waiting",
    )

    def __init__(self, *, registry, fleet):
        """Initialise the monitor.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        """
        self._clock = RunClock()
        # Pairs of task and attempt.
        self._confirmed = set()
        self._fleet = fleet
        self._registry = registry
        # The rest is of the last update: when each assignment was first seen
        # by task and attempt, the number of attempts by workflow, and by key
        # of the clock the attempts of which none is known to run: tuples of
        # that time, task, attempt and VM, as the records change.
        self._assigned_s = {}
        self._attempts = collections.Counter()
        self._waiting = {}

    def observe(self, session, ends):
        """Evaluate a report that the fleet has applied.

        :param session: The :class:`VmSession` of the VM.
        :param ends: :class:`radishlanding.workflow.TaskEnd` objects of the
            report.
        """
        for item in session.running.values():
            attempt = item.task_id, item.attempt
            if item.is_unconfirmed:
                self._confirmed.discard(attempt)
            elif attempt not in self._confirmed and self._fleet.is_wanted(
                session, item
            ):
                self._confirmed.add(attempt)
                self._record_run(item.task_id)
        for end in ends:
            if end.kind.shows_start and self._registry.is_current(end):
                self._record_run(end.task_id)

    def _record_run(self, task_id):
        record, _ = self._registry.find(task_id)
        self._clock.record_run(_key(record, task_id))

    def update(self):
        """Advance the time of what does not run; to be called in each tick."""
        now_s = boot_clock_s()
        self._attempts.clear()
        assigned_s, running, waiting = {}, set(), {}
        for vm in self._registry.busy_vms():
            session = self._fleet.sessions.get(vm)
            is_silent = session is not None and session.state.is_silent
            for task in self._registry.tasks_on(vm):
                record, _ = self._registry.find(task.task_id)
                if record.phase.has_ended:
                    continue
                attempt = task.task_id, task.attempt
                since_s = self._assigned_s.get(attempt, now_s)
                assigned_s[attempt] = since_s
                self._attempts[record.workflow.workflow_id] += 1
                key = _key(record, task.task_id)
                if attempt in self._confirmed and not is_silent:
                    running.add(key)
                else:
                    waiting.setdefault(key, []).append((since_s, *attempt, vm))
        self._assigned_s = assigned_s
        self._confirmed.intersection_update(assigned_s)
        self._waiting = {
            key: attempts
            for key, attempts in waiting.items()
            if key not in running
        }
        ages_s = {
            key: now_s - min(attempts)[0]
            for key, attempts in self._waiting.items()
        }
        self._clock.update(ages_s, running=running, now_s=now_s)
        self._clock.retain(
            lambda key: self._registry.is_open(_workflow_id(key))
        )

    def stalled_ms(self):
        """Return for how long nothing of each workflow has been known to run.

        Of a standing workflow, it is the longest time of a task. Workflows of
        which no attempt is assigned at present are included.

        :returns: Milliseconds by the identity of the workflow.
        """
        return _longest_ms(self._clock.stalled_s())

    def waiting_ms(self):
        """Return the same for workflows that wait for assigned attempts."""
        stalled_s = self._clock.stalled_s()
        return _longest_ms({key: stalled_s[key] for key in self._waiting})

    def stalls(self):
        """Return what :meth:`waiting_ms` counts, and the VMs.

        :returns: :class:`radishlanding.policy.Stall` objects by the identity
            of the workflow.
        """
        due_s = boot_clock_s() - MAX_STALL_MS / 1000
        vms = collections.defaultdict(set)
        for key, attempts in self._waiting.items():
            vms[_workflow_id(key)].update(
                vm for since_s, _, _, vm in attempts if since_s <= due_s
            )
        return {
            workflow_id: Stall(
                stalled_ms=waited_ms, vms=frozenset(vms[workflow_id])
            )
            for workflow_id, waited_ms in self.waiting_ms().items()
        }

    def attempt_count(self, workflow_id):
        """Return how many attempts of a workflow are assigned."""
        return self._attempts[workflow_id]

    def waiting_attempts(self, workflow_id):
        """Return the attempts that a workflow waits for, the oldest first.

        :param workflow_id: Identity of the workflow.
        :returns: :class:`WaitingAttempt` objects. The tasks of a standing
            workflow that have waited the longest come first.
        """
        now_s = boot_clock_s()
        stalled_s = self._clock.stalled_s()
        found = sorted(
            (-stalled_s[key], *attempt)
            for key, attempts in self._waiting.items()
            if _workflow_id(key) == workflow_id
            for attempt in attempts
        )
        return [
            WaitingAttempt(
                task_id=task_id,
                attempt=attempt,
                vm=vm,
                age_ms=int((now_s - since_s) * 1000),
                state=self._state(task_id, attempt, vm),
            )
            for _, since_s, task_id, attempt, vm in found
        ]

    def _state(self, task_id, attempt, vm):
        session = self._fleet.sessions.get(vm)
        if session is None:
            return StartState.UNREACHABLE
        if session.state.is_silent:
            return StartState.SILENT
        item = session.running.get(task_id)
        if item is None or item.attempt != attempt:
            return StartState.UNORDERED
        return StartState.UNCONFIRMED


def _key(record, task_id):
    """Return the key of a task for the :class:`RunClock`."""
    workflow = record.workflow
    return task_id if workflow.is_standing else workflow.workflow_id


def _workflow_id(key):
    """Return the identity of the workflow of a key."""
    return key.partition(".")[0]


def _longest_ms(stalled_s):
    """Return the longest time of each workflow, in milliseconds.

    :param stalled_s: Times in seconds by key.
    """
    longest_ms = {}
    for key, time_s in stalled_s.items():
        workflow_id = _workflow_id(key)
        longest_ms[workflow_id] = max(
            longest_ms.get(workflow_id, 0), int(time_s * 1000)
        )
    return longest_ms
