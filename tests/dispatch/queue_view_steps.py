"""Steps about what operators see of queues."""

import functools
import subprocess

from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.admission_control import AdmissionControl
from radishlanding.dispatch.queue_view import QueueView
from radishlanding.http import HttpClient
from radishlanding.http import HttpServer
from radishlanding.http.metrics_page import MetricsPage
from radishlanding.http.status_pages import StatusPages
from radishlanding.observe import Counters
from radishlanding.policy import CompletionOrder
from radishlanding.policy import RunTimeEstimate
from tests.policy import overload_play
from tests.standin.log_lines import captured_lines
from tests.standin.process import BIN_DIR

ESTIMATE_ERROR = 0.2


class LearnedTimes:
    """The estimates of callers, as if they had been learned."""

    def estimate(self, workflow, number):
        run_ms = workflow.steps[number].estimated_ms
        return RunTimeEstimate(run_ms=run_ms, spread=ESTIMATE_ERROR, samples=5)


def _play(context, *, drain_ms):
    """Play an overload of 30 s, and as much after it."""
    run_times, context.counters = LearnedTimes(), Counters()
    context.order = CompletionOrder(run_times=run_times)

    def make_control(play):
        context.control = AdmissionControl(
            registry=play,
            planner=play,
            fleet=play,
            site_watch=play,
            run_times=run_times,
            counters=context.counters,
            clock_ms=lambda: play.now_ms,
        )
        return context.control

    jobs = overload_play.arrivals(1, 4, 30, error=ESTIMATE_ERROR)
    context.play = overload_play.Play(context.order, control=make_control)
    with captured_lines("radishlanding.dispatch") as lines:
        context.play.run(jobs, drain_ms=drain_ms)
    context.lines = lines


def _serve(context, page):
    metrics = MetricsPage(counters=Counters(), program="dispatcher")
    server = HttpServer(
        handler=StatusPages(metrics=metrics, pages={"/queues": page})
    )
    run = functools.partial(server.run, host="127.0.0.1", port=0)
    port = context.bridge.call(context.bridge.nursery.start, run)
    return f"127.0.0.1:{port}"


@given(
    "the metrics pages of a leader in an overload and of another dispatcher"
)
def _pages(context):
    _play(context, drain_ms=0)
    view = QueueView(
        admission=context.control,
        planner=context.play,
        counters=context.counters,
    )
    context.leader = _serve(context, lambda: {"epoch": 3, **view.summary()})
    context.other = _serve(context, lambda: None)


def _ask(context, addresses):
    command = [
        str(BIN_DIR / "radishlanding"),
        "queues",
        "--metrics",
        addresses,
    ]
    context.done = subprocess.run(
        command, capture_output=True, text=True, check=False
    )


@when('"queues" asks both')
def _ask_both(context):
    _ask(context, f"{context.other},{context.leader}")


@when('"queues" asks the other dispatcher')
def _ask_other(context):
    _ask(context, context.other)


@then("it ends with 0 and shows the queue with its backlog, wait and refusals")
def _shows(context):
    done = context.done
    assert done.returncode == 0, done
    names, values = (line.split() for line in done.stdout.splitlines()[:2])
    row = dict(zip(names, values, strict=True))
    assert row["queue"] == "q" and row["overloaded"] == "True", row
    assert float(row["backlog_core_s"]) > 10_000, row
    assert float(row["wait_s"]) > 10, row
    assert int(row["submitted"]) > int(row["refused"]) > 0, row
    assert f"admission_refused={row['refused']}" in done.stdout, done.stdout


@then("the page of metrics is still served")
def _metrics(context):
    client = HttpClient(address=context.leader)
    send = functools.partial(client.send, "GET", "/metrics", timeout_s=3)
    response = context.bridge.call(send)
    context.bridge.call(client.close)
    assert response.headers["content-type"].startswith("text/plain")


@then('it ends with {status:d} and shows "{text}"')
def _fails(context, status, text):
    done = context.done
    assert done.returncode == status, done
    assert text in done.stderr and "Traceback" not in done.stderr, done


@when("an overload of 30 s is played")
def _whole(context):
    _play(context, drain_ms=overload_play.DRAIN_MS)


@when("an overload of 30 s is played until its end")
def _until_end(context):
    _play(context, drain_ms=0)


@then("one line tells of its beginning and one of its end")
def _logged(context):
    events = [
        name
        for line in context.lines
        for name in ("overload_began", "overload_ended")
        if f"event={name}" in line
    ]
    assert events == ["overload_began", "overload_ended"], events


@then("each waiting workflow is explained by tier, density and work")
def _explained(context):
    assert context.play.workflows
    for record in context.play.workflows.values():
        figures = context.order.explain(record)
        assert {"tier", "density", "left_core_s"} <= figures.keys(), figures
