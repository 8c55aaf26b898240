"""Workflows of batch tasks, and their state as the log records it."""

from radishlanding.workflow.assignment import Assignment
from radishlanding.workflow.end import EndKind
from radishlanding.workflow.log_entry import LogEntry
from radishlanding.workflow.outcome import WorkflowOutcome
from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.queue_ref import QueueRef
from radishlanding.workflow.record import WorkflowRecord
from radishlanding.workflow.registry import WorkflowRegistry
from radishlanding.workflow.step import Step
from radishlanding.workflow.task_checkpoint import TaskCheckpoint
from radishlanding.workflow.task_end import TaskEnd
from radishlanding.workflow.task_id import task_id
from radishlanding.workflow.task_id import TaskId
from radishlanding.workflow.task_record import TaskRecord
from radishlanding.workflow.tombstone import Tombstone
from radishlanding.workflow.workflow import Workflow

__all__ = [
    "Assignment",
    "EndKind",
    "LogEntry",
    "QueueRef",
    "Step",
    "TaskCheckpoint",
    "TaskEnd",
    "TaskId",
    "TaskRecord",
    "Tombstone",
    "Workflow",
    "WorkflowOutcome",
    "WorkflowPhase",
    "WorkflowRecord",
    "WorkflowRegistry",
    "task_id",
]
