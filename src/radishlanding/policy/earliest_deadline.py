"""Earliest-deadline-first order of workflows."""

from radishlanding.policy.tier import tier_by_age


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
        return (
            workflow.priority,
            not workflow.is_standing,
            tier_by_age(age_ms, objective_ms),
            0.0,
            start_ms + objective_ms,
            workflow.workflow_id,
        )
