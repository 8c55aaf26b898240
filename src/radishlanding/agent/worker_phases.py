"""What the worker's words for ended tasks mean."""

from radishlanding.task import TaskPhase

WORKER_PHASES = {
    "done": TaskPhase.DONE,
    "failed": TaskPhase.FAILED,
    "stopped": TaskPhase.STOPPED,
}
