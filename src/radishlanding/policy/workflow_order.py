"""Interface of workflow orders."""

import typing


class WorkflowOrder(typing.Protocol):
    """Rank the workflows that wait for capacity."""

    def key(self, record, *, now_ms):
        """Return a sort key; smaller keys are placed first.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :param now_ms: Unix time, in milliseconds.
        """
