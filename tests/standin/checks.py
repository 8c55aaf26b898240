"""Checks of invariants over a record of runs and executions."""

import hashlib
import itertools
import json

REPORT_DELAY_S = 2.0
RESOURCES = ("millicores", "memory_mb", "accelerators")


def overcommitted_vms(record):
    """Return VMs whose capacity or slots were exceeded at some time."""
    findings = []
    for vm, capacity in record.capacities.items():
        runs = [run for run in record.runs if run.vm == vm]
        for instant in sorted(run.started_s for run in runs):
            concurrent = [
                run for run in runs if run.started_s <= instant < run.ended_s
            ]
            for name in RESOURCES:
                used = sum(getattr(run, name) for run in concurrent)
                if used > getattr(capacity, name):
                    findings.append(
                        f"{vm} used {used} {name}, over its capacity"
                    )
    for item in record.executions:
        if item.in_flight > item.slots:
            findings.append(
                f"{item.vm} served {item.in_flight} requests, over its slots"
            )
    return findings


def double_runs(record):
    """Return tasks with overlapping runs."""
    findings = []
    for task_id in {run.task_id for run in record.runs}:
        runs = sorted(record.runs_of(task_id), key=lambda run: run.started_s)
        for first, second in itertools.combinations(runs, 2):
            if second.started_s < first.ended_s:
                findings.append(
                    f"{task_id} ran on {first.vm} and {second.vm} at once"
                )
    return findings


def repeated_completions(record):
    """Return tasks that were done twice although the first was reported.

    The report may be lost with a VM that crashed or was frozen past its lease;
    an idempotent task then runs again.
    """
    done = [
        run.task_id
        for run in record.runs
        if run.end_state == "done"
        and not record.was_unreported(run, report_delay_s=REPORT_DELAY_S)
    ]
    return sorted({task_id for task_id in done if done.count(task_id) > 1})


def invalid_resumes(record):
    """Return tasks that reused an epoch or resumed from a wrong checkpoint.

    A run resumes from a checkpoint of the previous run or from where that
    run started; after an eviction, from the newest checkpoint.
    """
    findings = []
    for task_id in {run.task_id for run in record.runs}:
        runs = sorted(record.runs_of(task_id), key=lambda run: run.epoch)
        epochs = [run.epoch for run in runs]
        if len(set(epochs)) < len(epochs):
            findings.append(f"{task_id} started twice in one epoch")
        for first, second in itertools.pairwise(runs):
            allowed = [first.resumed_from, *first.checkpoints]
            if first.was_evicted:
                allowed = allowed[-1:]
            if second.resumed_from not in allowed:
                findings.append(
                    f"{task_id} resumed from {second.resumed_from!r}, "
                    f"allowed was {allowed}"
                )
    return findings


def starts_in_zone(record, zone, *, since_s):
    """Return runs and executions that started in a zone after a time.

    :param since_s: Time, in seconds.
    """
    return [
        item
        for item in [*record.runs, *record.executions]
        if item.zone == zone and item.started_s > since_s
    ]


def repeated_executions(record, keys):
    """Return keys of requests that were executed more than once."""
    return [key for key in keys if len(record.executions_of(key)) > 1]


def repeated_work(record, template_jobs):
    """Return non-idempotent tasks that repeated work.

    Such a task may run again only after an eviction, which freezes it at its
    checkpoint.

    :param template_jobs: IDs of jobs of non-idempotent templates.
    """
    findings = []
    for task_id in {run.task_id for run in record.runs}:
        if task_id.rpartition("/")[0] not in template_jobs:
            continue
        runs = sorted(record.runs_of(task_id), key=lambda run: run.epoch)
        for first, second in itertools.pairwise(runs):
            if not first.was_evicted:
                findings.append(
                    f"{task_id} started again after {first.end_state}, "
                    f"epochs {first.epoch} and {second.epoch}"
                )
    return findings


def invariant_findings(record):
    """Return violations of the invariants of all sites."""
    return [
        *overcommitted_vms(record),
        *double_runs(record),
        *repeated_completions(record),
        *invalid_resumes(record),
    ]


def contradicted_answers(record, answers, attempts):
    """Return answers to requests that the record contradicts.

    After ``not_run`` only a later attempt of the caller may run the request.

    :param record: The :class:`Record`.
    :param answers: Answers with ``sent``, the request body, and ``sent_s``.
    :param attempts: Pairs of key and sending time of all attempts.
    """
    findings = []
    for answer in answers:
        key = answer.get("request_id", "")
        executions = record.executions_of(key)
        outcome = answer.get("outcome")
        if outcome == "not_run":
            later_s = min(
                (
                    sent_s
                    for name, sent_s in attempts
                    if name == key and sent_s > answer["sent_s"]
                ),
                default=float("inf"),
            )
            if any(item.started_s < later_s for item in executions):
                findings.append(f"{key} was answered not_run but ran")
        if outcome == "done":
            digest = hashlib.sha256(answer["sent"]).hexdigest()
            if not executions:
                findings.append(f"{key} was answered done but did not run")
            elif json.loads(answer["answer"]).get("digest") != digest:
                findings.append(f"{key} got the answer of another request")
    return findings
