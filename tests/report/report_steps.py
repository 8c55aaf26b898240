"""Steps for the burn report."""

import collections
import unittest.mock

from behave import given
from behave import then

from radishlanding.report import BurnHistory
from radishlanding.report import make_rows

ORGANISATION = "abay-reef"


@given("these counts of two entries at minute 1000")
def _counts(context):
    dumps = collections.defaultdict(list)
    for row in context.table:
        dumps[row["entry"]].append(
            [
                int(row["minute"]),
                ORGANISATION,
                row["template"],
                int(row["requests"]),
                int(row["missed"]),
            ]
        )
    context.dumps = list(dumps.values())


@given("the objectives")
def _objectives(context):
    context.objectives = {
        (ORGANISATION, row["template"]): float(row["objective"])
        for row in context.table
    }


@then("the report is")
def _report_is(context):
    rows = make_rows(context.dumps, context.objectives, now_min=1000)
    found = [
        [
            row.template,
            str(row.requests),
            str(row.missed),
            f"{row.budget_left:.2f}",
            f"{row.short_burn:.2f}",
            f"{row.long_burn:.2f}",
        ]
        for row in rows
    ]
    expected = [list(row.cells) for row in context.table]
    assert found == expected, found


@given("a burn history with a count in each of the last 400 minutes")
def _history(context):
    context.burn_history = BurnHistory()
    for minute in range(400):
        with unittest.mock.patch("time.time", return_value=minute * 60.0):
            context.burn_history.record(ORGANISATION, "t", is_good=True)


@then("it holds 360 minutes")
def _it_holds(context):
    assert len(context.burn_history.dump()) == 360
