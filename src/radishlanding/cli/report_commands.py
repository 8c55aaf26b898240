"""Commands for reports."""

import dataclasses
import time

from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table
from radishlanding.report import make_rows


class ReportCommands:
    """Report on service levels."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Create the commands.

        :param client: An :class:`EntryClient`.
        """
        self._client = client

    def burn(self, json=False):
        """Report error budgets and burn rates, highest burn rate first.

        The report covers what the entries hold in memory: at most six hours,
        and nothing from before an entry's start.
        """
        histories = [
            item["rows"] for item in self._client.call_each("/v1/burn")
        ]
        templates = self._client.call("GET", "/v1/config")["templates"]
        objectives = {
            (item["organisation"], name): item["objective"]
            for name, item in templates.items()
        }
        rows = make_rows(histories, objectives, now_min=int(time.time() // 60))
        if json:
            print_json([dataclasses.asdict(row) for row in rows])
            return
        print_table(
            (
                "organisation",
                "template",
                "objective",
                "requests",
                "missed",
                "budget left",
                "burn 5 min",
                "burn 60 min",
            ),
            [
                (
                    row.organisation,
                    row.template,
                    row.objective,
                    row.requests,
                    row.missed,
                    f"{row.budget_left:.1%}",
                    f"{row.short_burn:.2f}",
                    f"{row.long_burn:.2f}",
                )
                for row in rows
            ],
        )
