"""Ranks workflows by when they should be completed."""

# Past this multiple of its objective a completion is worth nothing more.
LATE_LIMIT = 3.0


class EarliestDeadline:
    """Order by priority, what can still be in time, and deadline."""

    __slots__ = ()

    def key(self, record, *, now_ms):
        """Return a sort key; smaller ones are placed first."""
        workflow = record.workflow
        objective_start_ms = record.objective_start_ms(now_ms)
        age_ms = now_ms - objective_start_ms
        objective_ms = workflow.objective_ms()
        is_lost = age_ms > LATE_LIMIT * objective_ms
        is_late = age_ms > objective_ms
        return (
            workflow.priority,
            not workflow.is_standing,
            is_lost,
            is_late,
            objective_start_ms + objective_ms,
            workflow.workflow_id,
        )
