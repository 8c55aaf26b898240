"""Steps for findings."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from radishlanding.cli.config_commands import read_document
from radishlanding.findings import InvalidInput


@given("the configuration")
def _the_configuration(context):
    context.configuration = context.text


@when("it is read")
def _it_is_read(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "site.toml"
        path.write_text(context.configuration)
        try:
            context.document = read_document(path)
            context.findings = []
        except InvalidInput as exc:
            context.findings = exc.exceptions


@then("the findings are")
def _the_findings_are(context):
    found = sorted(
        (item.location.partition(": ")[2], item.problem)
        for item in context.findings
    )
    expected = sorted(
        (row["location"], row["problem"]) for row in context.table
    )
    assert found == expected, found


@then('a finding contains "{text}"')
def _a_finding_contains(context, text):
    lines = [str(item) for item in context.findings]
    assert any(text in line for line in lines), lines
