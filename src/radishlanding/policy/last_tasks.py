"""Tells the last tasks of a step, which others wait for."""

# The last tasks of a step are this share of all, and this many at least.
LAST_SHARE = 0.25
MIN_LAST = 2


def has_last_tasks(record, occurrence, number):
    """Return whether only the last tasks of a step are left.

    Their step, or the workflow, is done as soon as they are, so that they
    gain from a faster VM as a whole.

    :param record: The :class:`radishlanding.workflow.WorkflowRecord`.
    :param occurrence: Number of the occurrence, from 0.
    :param number: Number of the step, from 0.
    """
    count = record.workflow.steps[number].count
    left = record.tasks_left(occurrence, number)
    return left <= max(MIN_LAST, LAST_SHARE * count)
