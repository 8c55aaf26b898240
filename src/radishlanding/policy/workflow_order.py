"""Which workflow is placed first."""

import typing


class WorkflowOrder(typing.Protocol):
    """Rank workflows that wait for room."""

    def key(self, record, *, now_ms):
        """Return a sort key; smaller ones are placed first.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :param now_ms: Unix time, in milliseconds.
        """
