"""Decides when workflows go on without attempts that do not run."""

# Agents report at least once a second what has started.
MAX_STALL_MS = 1500
# How long a workflow stays away from a VM that did not run its attempts, as
# workers that leave calls unanswered do so for several seconds.
AVOIDANCE_MS = 10_000


class StalledWorkflows:
    """Find the workflows whose assigned attempts do not run in time.

    The assignments keep such a workflow from counting as idle, although the
    workers may answer nothing. Another task of it may start wherever it fits,
    but on the VMs that it waits for only if no other one admits it. That task
    has as much time to run before the next one may.
    """

    __slots__ = ("_avoided_ms", "_placed_ms", "_stalls")

    def __init__(self):
        """Start without workflows."""
        # When a workflow was last seen to wait for a VM, by both.
        self._avoided_ms = {}
        # When tasks were last placed, by the identity of the workflow.
        self._placed_ms = {}
        self._stalls = {}

    def update(self, stalls, *, now_ms):
        """Replace what is known of workflows.

        :param stalls: :class:`Stall` objects by the identity of the workflow.
        :param now_ms: Unix time, in milliseconds.
        """
        self._stalls = stalls
        self._placed_ms = {
            workflow_id: placed_ms
            for workflow_id, placed_ms in self._placed_ms.items()
            if workflow_id in stalls
        }
        self._avoided_ms = {
            key: seen_ms
            for key, seen_ms in self._avoided_ms.items()
            if 0 <= now_ms - seen_ms < AVOIDANCE_MS
        }
        for workflow_id, stall in stalls.items():
            for vm in stall.vms:
                self._avoided_ms[workflow_id, vm] = now_ms

    def record_placed(self, workflow_id, *, now_ms):
        """Record that tasks of a workflow were placed.

        :param workflow_id: Its identity.
        :param now_ms: Unix time, in milliseconds.
        """
        if workflow_id in self._stalls:
            self._placed_ms[workflow_id] = now_ms

    def is_stalled(self, workflow_id, *, now_ms):
        """Return whether a task may start wherever it fits.

        :param workflow_id: Identity of the workflow.
        :param now_ms: Unix time, in milliseconds; setting the clock back
            delays no task.
        """
        stall = self._stalls.get(workflow_id)
        if stall is None or stall.stalled_ms <= MAX_STALL_MS:
            return False
        placed_ms = self._placed_ms.get(workflow_id)
        return placed_ms is None or not 0 <= now_ms - placed_ms < MAX_STALL_MS

    def avoided_vms(self, workflow_id):
        """Return the VMs that have not run attempts of a workflow in time.

        :param workflow_id: Identity of the workflow.
        :returns: Set of their identities.
        """
        return {vm for name, vm in self._avoided_ms if name == workflow_id}
