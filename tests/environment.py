"""Hooks of behave."""

from tests.run import known_failures
from tests.standin.bridge import Bridge


def before_all(context):
    """Prepare the state that all scenarios share."""
    context.known_failures = known_failures()
    context.runs_by_fault = {}


def before_scenario(context, scenario):
    """Skip a known failure, or start the trio thread."""
    if any(scenario.name.startswith(name) for name in context.known_failures):
        scenario.skip("known failure")
        return
    context.bridge = Bridge()
    context.bridge.start()


def after_scenario(context, scenario):
    """Stop the trio thread and everything that runs in it."""
    bridge = getattr(context, "bridge", None)
    if bridge is not None:
        if scenario.status == "failed":
            bridge.print_logs()
        bridge.stop()
        context.bridge = None
