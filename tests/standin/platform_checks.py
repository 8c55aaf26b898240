"""Judges a platform site by what its runners and callers saw."""

import collections

# Statuses that say that a try had no effect.
REFUSED_STATUSES = {400, 404, 429, 503}


def double_runs(record):
    """Return findings of tasks that ran in two places, or after their end.

    An end counts once it was noted: the agent let the runner forget it, and
    the runner's lease did not lapse before that. What a runner did without
    anybody's knowledge until its lease lapsed, or until it started again,
    has to be done again.

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


def _describe_pair(task, what, first, second):
    return (
        f"{task} {what}: #{first.number} on {first.worker_id} "
        f"{first.started_s:.2f}-{first.ended_s or 0:.2f} {first.end_kind}, "
        f"#{second.number} on {second.worker_id} from {second.started_s:.2f}"
    )


def refused_runs(record, submissions):
    """Return findings of runs that began though every try was refused.

    A refusal says that this try is on no record and never will be. What ran
    must have come of a try that was sent before and not refused; one that
    is not answered yet may still be accepted.

    :param submissions: :class:`tests.standin.submission.Submission` objects.
    """
    submissions_by_job = collections.defaultdict(list)
    for item in submissions:
        submissions_by_job[item.job].append(item)
    return [
        f"{run.task} ran, and its job was refused"
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
    """Return findings of tasks that ran before the step before was done.

    Takes each step to come after the one before it.
    """
    done = {}
    for run in record:
        if run.end_kind == "done":
            done[run.task] = run.ended_s
    findings = []
    for run in record:
        name, occurrence, step, _ = run.task.split(".")
        before = f"{name}.{occurrence}.{int(step) - 1}."
        for other, ended_s in done.items():
            if other.startswith(before) and ended_s > run.started_s:
                findings.append(f"{run.task} began before {other} was done")
    return findings


def overcommitted_runners(record, *, millicores, capacity):
    """Return findings of runners with more runs than they hold.

    Filling tasks take nothing of what a runner holds.

    :param millicores: Size of each task that does not fill.
    :param capacity: Size of each runner.
    """
    findings = []
    serving = [run for run in record if not run.load.is_best_effort]
    for run in serving:
        concurrent = [
            other
            for other in serving
            if other.worker_id == run.worker_id
            and other.started_s <= run.started_s
            and (other.ended_s is None or other.ended_s > run.started_s)
        ]
        if len(concurrent) * millicores > capacity:
            findings.append(f"{run.worker_id} had {len(concurrent)} runs")
    return findings


def latency_findings(record, *, max_s):
    """Return findings of serving tasks that were over their target too long.

    :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
    :param max_s: Longest time on end that is borne.
    """
    return [
        f"{run.task} #{run.number} on {run.worker_id} was over its target "
        f"for {run.load.longest_violation_s:.1f} s on end"
        for run in record
        if run.load.longest_violation_s >= max_s
    ]
