"""The platform's worker, which runs tasks on a VM."""

from radishlanding.worker.http_worker import HttpWorker
from radishlanding.worker.refused import WorkerRefused
from radishlanding.worker.unavailable import WorkerUnavailable
from radishlanding.worker.worker import Worker
from radishlanding.worker.worker_task import WorkerTask

__all__ = [
    "HttpWorker",
    "Worker",
    "WorkerRefused",
    "WorkerTask",
    "WorkerUnavailable",
]
