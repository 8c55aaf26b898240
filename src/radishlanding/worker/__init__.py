"""Interfaces of the platform's worker, which runs tasks on a VM."""

from radishlanding.worker.advisor import Advisor
from radishlanding.worker.advisor_unavailable import AdvisorUnavailable
from radishlanding.worker.attempt_listing import AttemptListing
from radishlanding.worker.ended_attempt import EndedAttempt
from radishlanding.worker.http_worker import HttpWorker
from radishlanding.worker.leased_worker import LeasedWorker
from radishlanding.worker.refused import WorkerRefused
from radishlanding.worker.replaced import WorkerReplaced
from radishlanding.worker.report import WorkerReport
from radishlanding.worker.running_attempt import RunningAttempt
from radishlanding.worker.start_result import StartResult
from radishlanding.worker.unavailable import WorkerUnavailable
from radishlanding.worker.worker import Worker
from radishlanding.worker.worker_task import WorkerTask

__all__ = [
    "Advisor",
    "AdvisorUnavailable",
    "EndedAttempt",
    "HttpWorker",
    "LeasedWorker",
    "AttemptListing",
    "RunningAttempt",
    "StartResult",
    "Worker",
    "WorkerReplaced",
    "WorkerRefused",
    "WorkerReport",
    "WorkerTask",
    "WorkerUnavailable",
]
