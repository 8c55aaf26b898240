"""Interface of workflow orders."""

import typing

# Leading parts of a sort key that form the class of a workflow: priority,
# whether it is finite, has expired and is late. The parts behind them change
# with each figure of a workflow, the class seldom.
CLASS_PARTS = 4


class WorkflowOrder(typing.Protocol):
    """Rank the workflows that wait for capacity."""

    def key(self, record, *, now_ms):
        """Return a sort key; smaller keys are placed first.

        It is a tuple whose first ``CLASS_PARTS`` parts are the class.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :param now_ms: Unix time, in milliseconds.
        """
