"""Serving tasks and filling tasks that disturb them, for a platform site."""

# At rest a third of the target; two filling tasks at full pace exceed it.
SERVING_SPEC = "serve 50 150"
BEST_EFFORT_SPEC = "fill 60 6"
TARGET_MS = 150
BEST_EFFORT_JOBS = 6
SERVING_JOB = "5" * 16


async def submit_serving_job(site, *, count):
    """Hand in a job of serving tasks, one a VM at most."""
    step = {
        "count": count,
        "antiAffinity": 1,
        "longRunning": True,
        "targetMs": TARGET_MS,
        "image": "desk",
    }
    await site.submit_until_accepted(SERVING_JOB, [step], spec=SERVING_SPEC)


async def submit_best_effort_jobs(site, *, batch):
    """Hand in filling tasks, each a job with an image of its own.

    :param batch: Number from 0 to 9, which their names begin with; see
        :func:`best_effort_prefix`.
    """
    for number in range(BEST_EFFORT_JOBS):
        step = {
            "count": 1,
            "cpu": 300,
            "estimatedMs": 6000,
            "fills": True,
            "checkpointing": True,
            "image": f"image-{batch}-{number}",
        }
        name = f"{best_effort_prefix(batch)}{number:014x}"
        await site.submit_until_accepted(name, [step], spec=BEST_EFFORT_SPEC)


def best_effort_prefix(batch):
    """Return what the names of a batch of filling tasks begin with."""
    return f"f{batch}"
