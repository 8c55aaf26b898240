"""Record of a cancellation that preceded its workflow."""

import dataclasses

from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.queue_ref import QueueRef
from radishlanding.workflow.record import WorkflowRecord
from radishlanding.workflow.workflow import Workflow


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tombstone:
    """Keeps a workflow that was cancelled while unknown from being accepted.

    Its submission may still be on its way, in the socket of a process that
    was suspended or on a slow connection.

    :param workflow_id: Identity of the workflow.
    :param queue: Queue that the cancellation was sent to.
    :param made_ms: Unix time of the cancellation, in milliseconds.
    """

    workflow_id: str
    queue: QueueRef
    made_ms: int

    def to_record(self):
        """Return the :class:`WorkflowRecord` that stands for it in snapshots.

        Builds without tombstones read it as a cancelled workflow.
        """
        workflow = Workflow(
            workflow_id=self.workflow_id,
            queue=self.queue.name,
            base_url=self.queue.base_url,
            pool="",
            spec="",
            steps=[],
        )
        return WorkflowRecord(
            workflow=workflow,
            phase=WorkflowPhase.CANCELLED,
            ended_ms=self.made_ms,
            is_tombstone=True,
        )

    @classmethod
    def from_record(cls, record):
        """Return the tombstone that a record of a snapshot stands for.

        :param record: A :class:`WorkflowRecord` of :meth:`to_record`.
        """
        return cls(
            workflow_id=record.workflow.workflow_id,
            queue=record.workflow.queue_ref,
            made_ms=record.ended_ms,
        )
