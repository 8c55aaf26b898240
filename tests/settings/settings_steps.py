"""Steps for settings."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from radishlanding.findings import InvalidInput
from radishlanding.settings import load_settings

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples/settings"


def _load(context, program, path):
    try:
        context.cfg = load_settings(program, path)
        context.findings = []
    except InvalidInput as exc:
        context.findings = exc.exceptions


@given("the settings of an agent with {key} = {value}")
def _settings_of_an_agent(context, key, value):
    _change_example(context, "agent", key, value)


@given("the settings of a dispatcher with {key} = {value}")
def _settings_of_a_dispatcher(context, key, value):
    _change_example(context, "dispatcher", key, value)


def _change_example(context, program, key, value):
    lines = (EXAMPLES / f"{program}.toml").read_text().splitlines()
    others = [line for line in lines if not line.startswith(f"{key} ")]
    context.program = program
    context.settings = "\n".join([*others, f"{key} = {value}"])


@when("they are loaded")
def _they_are_loaded(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text(context.settings)
        _load(context, context.program, path)


@when("the example settings of {program} are loaded")
def _example_settings(context, program):
    _load(context, program, EXAMPLES / f"{program}.toml")


@then('a finding about {key} contains "{problem}"')
def _a_finding_contains(context, key, problem):
    lines = [str(item) for item in context.findings]
    assert any(key in line and problem in line for line in lines), lines


@then("the loaded {key} is {value}")
def _is_loaded(context, key, value):
    _no_findings(context)
    assert str(getattr(context.cfg, key)) == value, context.cfg


@then("there are no findings")
def _no_findings(context):
    assert not context.findings, context.findings


@then(
    "it accepts requests for {linger_s:g} s and waits {drain_s:g} s for them"
)
def _stop_times(context, linger_s, drain_s):
    found = [round(value, 3) for value in context.cfg.stop_times_s()]
    assert found == [linger_s, drain_s], found
