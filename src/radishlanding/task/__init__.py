"""Jobs, tasks and their recorded changes."""

from radishlanding.task.job import Job
from radishlanding.task.phase import TaskPhase
from radishlanding.task.state import TaskState
from radishlanding.task.task import Task
from radishlanding.task.transition import Transition

__all__ = ["Job", "Task", "TaskPhase", "TaskState", "Transition"]
