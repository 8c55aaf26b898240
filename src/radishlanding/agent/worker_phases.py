"""Maps the worker's states of ended tasks to phases."""

from radishlanding.task import TaskPhase

WORKER_PHASES = {
    "done": TaskPhase.DONE,
    "failed": TaskPhase.FAILED,
    "stopped": TaskPhase.STOPPED,
}
