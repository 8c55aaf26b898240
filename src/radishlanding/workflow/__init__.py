"""Workflows of batch tasks, and their state as the log records it."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Assignment",
    "EndKind",
    "LogEntry",
    "Step",
    "TaskEnd",
    "TaskId",
    "TaskRecord",
    "Workflow",
    "WorkflowOutcome",
    "WorkflowPhase",
    "WorkflowRecord",
    "WorkflowRegistry",
    "task_id",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Assignment": "assignment",
        "EndKind": "end",
        "LogEntry": "log_entry",
        "Step": "step",
        "TaskEnd": "task_end",
        "TaskId": "task_id",
        "TaskRecord": "task_record",
        "Workflow": "workflow",
        "WorkflowOutcome": "outcome",
        "WorkflowPhase": "phase",
        "WorkflowRecord": "record",
        "WorkflowRegistry": "registry",
        "task_id": "task_id",
    },
)
