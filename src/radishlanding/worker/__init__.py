"""Interfaces of the platform's worker, which runs tasks on a VM."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Advisor",
    "AdvisorUnavailable",
    "BootCheck",
    "CallSlots",
    "EndedAttempt",
    "HttpWorker",
    "LeasedWorker",
    "ListConnection",
    "AttemptListing",
    "RunningAttempt",
    "StartPermit",
    "StartResult",
    "StartTerms",
    "Worker",
    "WorkerReplaced",
    "WorkerRefused",
    "WorkerReport",
    "WorkerTask",
    "WorkerUnavailable",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Advisor": "advisor",
        "AdvisorUnavailable": "advisor_unavailable",
        "AttemptListing": "attempt_listing",
        "BootCheck": "boot_check",
        "CallSlots": "call_slots",
        "EndedAttempt": "ended_attempt",
        "HttpWorker": "http_worker",
        "LeasedWorker": "leased_worker",
        "ListConnection": "list_connection",
        "RunningAttempt": "running_attempt",
        "StartPermit": "start_permit",
        "StartResult": "start_result",
        "StartTerms": "start_terms",
        "Worker": "worker",
        "WorkerRefused": "refused",
        "WorkerReplaced": "replaced",
        "WorkerReport": "report",
        "WorkerTask": "worker_task",
        "WorkerUnavailable": "unavailable",
    },
)
