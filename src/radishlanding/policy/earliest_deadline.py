"""Earliest-deadline-first order of workflows."""

# Workflows older than this multiple of the objective go last: their
# completion has no value left.
EXPIRY_FACTOR = 3.0


class EarliestDeadline:
    """Order workflows of equal priority by deadline.

    Standing workflows go first; those past their deadline go behind those
    that can still meet it.
    """

    __slots__ = ()

    def update(self, records, *, rooms, now_ms):
        """Do nothing: the order does not depend on the load."""

    def work_ahead_core_ms(self, record, *, millicores, now_ms):
        """Return 0, as the order keeps no account of work."""
        return 0.0

    @property
    def overloads(self):
        """Return an empty set, as the order keeps no account of work."""
        return set()

    def explain(self, record):
        """Return nothing: the deadline ranks a workflow."""
        return {}

    def key(self, record, *, now_ms):
        """Return a sort key; smaller keys are placed first."""
        workflow = record.workflow
        start_ms = record.objective_start_ms(now_ms)
        age_ms = now_ms - start_ms
        objective_ms = workflow.objective_ms()
        is_expired = age_ms > EXPIRY_FACTOR * objective_ms
        is_late = age_ms > objective_ms
        return (
            workflow.priority,
            not workflow.is_standing,
            is_expired,
            is_late,
            start_ms + objective_ms,
            workflow.workflow_id,
        )
