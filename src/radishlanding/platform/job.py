"""Decoding of the jobs that clients submit.

Specified by the platform's page "What radishlanding speaks", section on jobs.
"""

import time

from radishlanding.findings import decode_json
from radishlanding.platform.fields import check_int
from radishlanding.platform.fields import MAX_NAME_BYTES
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import read_int
from radishlanding.platform.fields import read_list
from radishlanding.platform.fields import read_object
from radishlanding.platform.fields import read_text
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import Workflow

MAX_SPEC_BYTES = 4000
MAX_STEPS = 1000
MAX_TASKS = 100_000


def _read_name(raw, name):
    return read_text(raw, name, default="", max_bytes=MAX_NAME_BYTES)


def _decode_step(raw, number):
    after = [
        check_int(item, "after")
        for item in read_list(raw, "after", max_rows=MAX_STEPS)
    ]
    if any(not 0 <= item < number for item in after):
        raise ValueError(f"step {number} cannot come after {after}")
    count = read_int(raw, "count", maximum=MAX_TASKS)
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    return Step(
        count=count,
        needs=Capacity(
            millicores=read_int(raw, "cpu", default=0),
            memory_mb=read_int(raw, "memMb", default=0),
            accelerators=read_int(raw, "gpu", default=0),
        ),
        estimated_ms=read_int(raw, "estimatedMs", default=0),
        after=after,
        checkpointing=bool(raw.get("checkpointing", False)),
        gang=bool(raw.get("gang", False)),
        same_rack=bool(raw.get("sameRack", False)),
        # One label that the VM must have.
        label=_read_name(raw, "requirements"),
        # The rack that holds the input data.
        data_rack=_read_name(raw, "affinity"),
        # Highest number of the step's tasks on one VM, 0 for no limit.
        max_per_vm=read_int(raw, "antiAffinity", default=0),
        speculative=bool(raw.get("speculative", False)),
        standing=bool(raw.get("longRunning", False)),
        image=_read_name(raw, "image"),
        latency_target_ms=read_int(raw, "targetMs", default=0),
        fills=bool(raw.get("fills", False)),
        # Standing tasks that planned stops may take down at once.
        max_unavailable=read_int(raw, "mayMiss", default=0),
    )


def decode_job(name, queue, body):
    """Return a :class:`radishlanding.workflow.Workflow` from a job.

    The workflow keeps the settings that its queue has now; a later change of
    the queue does not affect it.

    :param name: Identity, chosen by the client.
    :param queue: The :class:`radishlanding.config.Queue` that accepts it.
    :param body: The job as JSON bytes.
    :raises ValueError: The job is malformed.
    """
    raw = read_object(decode_json(body), "the job")
    spec = read_text(raw, "spec", max_bytes=MAX_SPEC_BYTES)
    steps = [
        _decode_step(read_object(step, "steps"), number)
        for number, step in enumerate(
            read_list(raw, "steps", max_rows=MAX_STEPS)
        )
    ]
    if not steps:
        raise ValueError("the job has no steps")
    return Workflow(
        workflow_id=name,
        queue=queue.name,
        pool=queue.pool,
        spec=spec,
        steps=steps,
        repeats=read_int(raw, "repeatCount", default=0),
        first_due_ms=read_int(
            raw, "firstRunMs", default=0, maximum=MAX_NUMBER
        ),
        interval_ms=read_int(raw, "intervalMs", default=0),
        accepted_ms=int(time.time() * 1000),
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        latency_ms=queue.latency_ms,
        is_advised=queue.advisor_timing is not None,
        base_url=queue.base_url,
    )
