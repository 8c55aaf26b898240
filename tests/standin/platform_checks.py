"""Checks of the runs and submissions of a platform site."""

import collections

# Statuses of submissions that had and will have no effect.
REFUSED_STATUSES = {400, 404, 429, 503}


def double_runs(record):
    """Return tasks with overlapping runs, or runs after their end.

    An end counts if the agent acknowledged it before the runner's lease
    expired. Otherwise, and after a restart of the runner, the task has to
    run again.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    """
    by_task = collections.defaultdict(list)
    for run in record:
        by_task[run.task].append(run)
    findings = []
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_s)
        for index, run in enumerate(runs):
            for later in runs[index + 1 :]:
                if run.overlaps(later):
                    findings.append(
                        _describe_pair(task, "overlaps", run, later)
                    )
                elif run.end_kind == "done" and run.is_acknowledged:
                    findings.append(
                        _describe_pair(task, "ran again", run, later)
                    )
    return findings


def _describe_pair(task, relation, first, second):
    return (
        f"{task} {relation}: #{first.number} on {first.worker_id} "
        f"{first.started_s:.2f}-{first.ended_s or 0:.2f} {first.end_kind}, "
        f"#{second.number} on {second.worker_id} from {second.started_s:.2f}"
    )


def refused_runs(record, submissions):
    """Return runs of jobs whose earlier submissions were all refused.

    A refused submission never takes effect. A run needs a submission that was
    sent before it and not refused; an unanswered one may have been accepted.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    :param submissions: :class:`tests.standin.submission.Submission` objects.
    """
    submissions_by_job = collections.defaultdict(list)
    for item in submissions:
        submissions_by_job[item.job].append(item)
    return [
        f"{run.task} ran although its job was refused"
        for run in record
        for of_job in (submissions_by_job.get(run.task.partition(".")[0]),)
        if of_job and not _may_run(run, of_job)
    ]


def _may_run(run, of_job):
    return any(
        item.sent_s < run.started_s and item.status not in REFUSED_STATUSES
        for item in of_job
    )


def out_of_order(record):
    """Return tasks that started before the previous step was done.

    Assumes that each step depends on the previous one.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    """
    done = {}
    for run in record:
        if run.end_kind == "done":
            done[run.task] = run.ended_s
    findings = []
    for run in record:
        name, occurrence, step, _ = run.task.split(".")
        previous_step = f"{name}.{occurrence}.{int(step) - 1}."
        for other, ended_s in done.items():
            if other.startswith(previous_step) and ended_s > run.started_s:
                findings.append(f"{run.task} started before {other} was done")
    return findings


def overcommitted_runners(record, *, millicores, capacity):
    """Return runners whose capacity was exceeded.

    Best-effort tasks reserve no capacity.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    :param millicores: Reservation of each other task.
    :param capacity: Capacity of each runner, in millicores.
    """
    findings = []
    reserving = [run for run in record if not run.load.is_best_effort]
    for run in reserving:
        concurrent = [
            other
            for other in reserving
            if other.worker_id == run.worker_id
            and other.started_s <= run.started_s
            and (other.ended_s is None or other.ended_s > run.started_s)
        ]
        if len(concurrent) * millicores > capacity:
            findings.append(
                f"{run.worker_id} had {len(concurrent)} concurrent runs"
            )
    return findings


def latency_findings(record, *, max_s):
    """Return serving tasks that exceeded their latency target for too long.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    :param max_s: Shortest violation to report, in seconds.
    """
    return [
        f"{run.task} #{run.number} on {run.worker_id} was over its target "
        f"for {run.load.longest_violation_s:.1f} s in a row"
        for run in record
        if run.load.longest_violation_s >= max_s
    ]
