"""Serving and best-effort jobs for a platform site."""

# The baseline is a third of the target; two best-effort tasks at full pace
# exceed it.
SERVING_SPEC = "serve 50 150"
BEST_EFFORT_SPEC = "fill 60 6"
TARGET_MS = 150
BEST_EFFORT_JOBS = 6
SERVING_JOB = "5" * 16


async def submit_serving_job(site, *, count):
    """Submit a job of serving tasks, at most one on each VM.

    :param count: Number of tasks.
    """
    step = {
        "count": count,
        "antiAffinity": 1,
        "longRunning": True,
        "targetMs": TARGET_MS,
        "image": "desk",
    }
    await site.submit_until_accepted(SERVING_JOB, [step], spec=SERVING_SPEC)


async def submit_best_effort_jobs(site, *, batch):
    """Submit best-effort jobs of one task, each with its own image.

    :param batch: Digit in the prefix of their names; see
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
    """Return the name prefix of a batch of best-effort jobs."""
    return f"f{batch}"
