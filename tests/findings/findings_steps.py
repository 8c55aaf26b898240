"""Steps about findings."""

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
        (item.place.partition(": ")[2], item.problem)
        for item in context.findings
    )
    wanted = sorted((row["place"], row["problem"]) for row in context.table)
    assert found == wanted, found


@then('a finding tells "{text}"')
def _a_finding_tells(context, text):
    found = [str(item) for item in context.findings]
    assert any(text in line for line in found), found
