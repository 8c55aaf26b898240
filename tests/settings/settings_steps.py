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
        load_settings(program, path)
        context.findings = []
    except InvalidInput as exc:
        context.findings = exc.exceptions


@given("the settings of an agent with {key} = {value}")
def _settings_of_an_agent(context, key, value):
    lines = (EXAMPLES / "agent.toml").read_text().splitlines()
    others = [line for line in lines if not line.startswith(f"{key} ")]
    context.settings = "\n".join([*others, f"{key} = {value}"])


@when("they are loaded")
def _they_are_loaded(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "agent.toml"
        path.write_text(context.settings)
        _load(context, "agent", path)


@when("the example settings of {program} are loaded")
def _example_settings(context, program):
    _load(context, program, EXAMPLES / f"{program}.toml")


@then('a finding about {key} contains "{problem}"')
def _a_finding_contains(context, key, problem):
    lines = [str(item) for item in context.findings]
    assert any(key in line and problem in line for line in lines), lines


@then("there are no findings")
def _no_findings(context):
    assert not context.findings, context.findings
