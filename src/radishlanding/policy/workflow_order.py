"""Interface of workflow orders."""

import typing

# Leading parts of a sort key that form the class of a workflow: priority,
# whether it is finite, its tier, and its rank within the tier, which is 0
# unless the order ranks workflows in an overload.
CLASS_PARTS = 4


class WorkflowOrder(typing.Protocol):
    """Rank the workflows that wait for capacity."""

    def update(self, records, *, rooms, now_ms):
        """Take note of the load; keys stay as they are until the next call.

        To be called in every placement round, before :meth:`key`.

        :param records: Records of all workflows that have not ended,
            :class:`radishlanding.workflow.WorkflowRecord` objects.
        :param rooms: Processors that finite tasks can use, in millicores by
            pool.
        :param now_ms: Unix time, in milliseconds.
        """

    def work_ahead_core_ms(self, record, *, millicores, now_ms):
        """Return the work that would go before a new workflow.

        :param record: Record of a finite workflow that is not accepted yet.
        :param millicores: Processors that work on it and on what goes before.
        :param now_ms: Unix time, in milliseconds.
        :returns: Core-milliseconds, as of the last :meth:`update`; 0 if it is
            not known.
        """

    @property
    def overloads(self):
        """Return pairs of pool and priority that have more work than room.

        :returns: A set, as of the last :meth:`update`.
        """

    def explain(self, record):
        """Return the figures that rank a workflow, as text by name.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :returns: Empty if its deadline alone ranks it.
        """

    def key(self, record, *, now_ms):
        """Return a sort key; smaller keys are placed first.

        It is a tuple whose first ``CLASS_PARTS`` parts are the class.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :param now_ms: Unix time, in milliseconds.
        """
