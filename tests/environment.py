"""Hooks of behave: known-red scenarios, the trio thread, sites."""

from tests.run import known_failures
from tests.standin.bridge import Bridge


def before_all(context):
    """Prepare what all scenarios of a run share."""
    context.known_failures = known_failures()
    context.runs_by_fault = {}


def before_scenario(context, scenario):
    """Pass over a known-red scenario; start the trio thread."""
    if any(scenario.name.startswith(name) for name in context.known_failures):
        scenario.skip("known red")
        return
    context.bridge = Bridge()
    context.bridge.start()


def after_scenario(context, scenario):
    """End the trio thread and what the scenario opened in it."""
    bridge = getattr(context, "bridge", None)
    if bridge is not None:
        if scenario.status == "failed":
            bridge.print_logs()
        bridge.stop()
        context.bridge = None
