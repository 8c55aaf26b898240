"""Steps that check the work of a site under a fault."""

from behave import then
from behave import when

from tests.promises.faults import FAULTS
from tests.promises.workload import Workload
from tests.standin import checks
from tests.standin.plan import Plan


class FaultRun:
    """Run the workload under one fault and keep its results."""

    __slots__ = (
        "answers",
        "attempts",
        "booking_keys",
        "failure",
        "logs",
        "record",
    )

    def __init__(self, bridge, fault):
        """Run the workload on a new site and inject the fault."""
        site = bridge.open_site(Plan())
        workload = Workload(site)
        self.failure = ""
        try:
            bridge.call(workload.run, FAULTS[fault])
        except* AssertionError as group:
            self.failure = str(group.exceptions[0])
        self.answers = site.answers
        self.booking_keys = workload.booking_keys
        self.logs = site.read_logs()
        self.record = site.record
        self.attempts = site.attempts

    def check(self, findings):
        """Fail if there are findings, and print the logs."""
        if findings:
            print(self.logs)
        assert not findings, findings


@when("a site works under: {fault}")
def _work_under(context, fault):
    if fault not in context.runs_by_fault:
        context.runs_by_fault[fault] = FaultRun(context.bridge, fault)
    context.run = context.runs_by_fault[fault]


@then("every task ends")
def _every_task_ends(context):
    context.run.check([context.run.failure] if context.run.failure else [])


@then("no VM exceeded its capacity")
def _no_vm_overfull(context):
    context.run.check(checks.overcommitted_vms(context.run.record))


@then("no task ran in two places at once")
def _no_double_run(context):
    context.run.check(checks.double_runs(context.run.record))


@then("evicted tasks resumed once, from their checkpoint")
def _resumed_once(context):
    record = context.run.record
    context.run.check(
        checks.invalid_resumes(record) + checks.repeated_completions(record)
    )


@then("each answer is complete and belongs to its request")
def _answers_whole(context):
    context.run.check(
        [
            text
            for text in checks.contradicted_answers(
                context.run.record, context.run.answers, context.run.attempts
            )
            if "not_run" not in text
        ]
    )


@then("requests answered with not_run did not run")
def _not_run_is_true(context):
    context.run.check(
        [
            text
            for text in checks.contradicted_answers(
                context.run.record, context.run.answers, context.run.attempts
            )
            if "not_run" in text
        ]
    )


@then("non-idempotent work ran at most once")
def _at_most_once(context):
    record = context.run.record
    findings = checks.repeated_executions(record, context.run.booking_keys)
    findings += checks.repeated_work(record, {"plan"})
    context.run.check(findings)


@then("some work of each kind was done")
def _some_work_done(context):
    outcomes = [answer.get("outcome") for answer in context.run.answers]
    done = outcomes.count("done")
    assert done > 0.5 * len(outcomes), (done, len(outcomes))
    assert any(run.end_state == "done" for run in context.run.record.runs)
