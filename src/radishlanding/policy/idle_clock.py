"""Tracks how long workflows wait while nothing of them runs."""


class IdleClock:
    """Hold since when each waiting workflow has been idle.

    A workflow is idle while none of its tasks is assigned. A standing one is
    idle while any of its tasks is not, as each of them is to run. Attempts
    that have not run are part of a wait, which would have no bound otherwise.
    """

    __slots__ = ("_has_started", "_next_ms", "_since_ms")

    def __init__(self):
        """Start without workflows."""
        self._has_started = False
        # When the next wait begins of workflows that are not idle.
        self._next_ms = {}
        self._since_ms = {}

    def update(self, records, *, now_ms):
        """Start the clocks of idle workflows, and drop all others.

        How long those of the first update were idle is not known. They count
        from their acceptance, so that a change of leader makes no wait longer.
        A clock that has been set back counts as the time that it shows, so
        that no wait lasts until the clock has caught up.

        :param records: Records of the workflows with tasks to place.
        :param now_ms: Unix time, in milliseconds.
        """
        self._since_ms = {
            record.workflow.workflow_id: min(
                now_ms, self._known_ms(record, now_ms)
            )
            for record in records
            if record.workflow.is_standing or not record.has_assigned_tasks()
        }
        self._has_started = True

    def _known_ms(self, record, now_ms):
        workflow_id = record.workflow.workflow_id
        next_ms = self._next_ms.pop(workflow_id, None)
        since_ms = self._since_ms.get(workflow_id, next_ms)
        return self._start_ms(record, now_ms) if since_ms is None else since_ms

    def _start_ms(self, record, now_ms):
        if self._has_started or record.workflow.repeats:
            return now_ms
        return record.workflow.accepted_ms

    def stop(self, workflow_id):
        """Stop the clock of a workflow that has been placed.

        It goes on from where it began if no attempt runs.
        """
        since_ms = self._since_ms.pop(workflow_id, None)
        if since_ms is not None:
            self._next_ms[workflow_id] = since_ms

    def clear(self, workflow_id):
        """Stop the clock of a workflow of which no task waits."""
        self._since_ms.pop(workflow_id, None)

    def restart(self, workflow_ids, *, now_ms):
        """Let the next waits of workflows begin now, as attempts have run.

        A standing workflow that waits with other tasks goes on waiting.

        :param workflow_ids: Their identities.
        :param now_ms: Unix time at which the attempts ended, in milliseconds.
        """
        if self._has_started:
            self._next_ms.update(dict.fromkeys(workflow_ids, now_ms))

    def retain(self, workflow_ids):
        """Drop all other workflows.

        :param workflow_ids: Set of the identities of open workflows.
        """
        self._next_ms = {
            workflow_id: next_ms
            for workflow_id, next_ms in self._next_ms.items()
            if workflow_id in workflow_ids
        }

    def idle_ms(self, workflow_id, *, now_ms):
        """Return how long a workflow has been idle, in milliseconds.

        :param workflow_id: Its identity.
        :param now_ms: Unix time, in milliseconds.
        """
        return now_ms - self._since_ms.get(workflow_id, now_ms)
