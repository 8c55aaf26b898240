"""Aggregates the request counts of all entries into the burn report."""

import collections

from radishlanding.report.burn_row import BurnRow

SHORT_WINDOW_MIN = 5
LONG_WINDOW_MIN = 60


def _burn_rate(counts, objective):
    requests, missed = counts
    if not requests:
        return 0.0
    return missed / requests / (1 - objective)


def make_rows(dumps, objectives, *, now_min):
    """Return the rows of the report, the highest short burn rate first.

    :param dumps: Results of :meth:`BurnHistory.dump` of all entries.
    :param objectives: Objectives by pairs of organisation and template.
    :param now_min: Current Unix time, in minutes.
    :returns: A list of :class:`BurnRow`.
    """
    totals = collections.defaultdict(lambda: [[0, 0], [0, 0], [0, 0]])
    for dump in dumps:
        for minute, organisation, template, requests, missed in dump:
            age_min = now_min - minute
            windows = totals[organisation, template]
            for window, length in zip(
                windows,
                (SHORT_WINDOW_MIN, LONG_WINDOW_MIN, float("inf")),
                strict=True,
            ):
                if age_min < length:
                    window[0] += requests
                    window[1] += missed
    rows = []
    for (organisation, template), windows in totals.items():
        objective = objectives.get((organisation, template), 0.99)
        short, long, whole = windows
        rows.append(
            BurnRow(
                organisation=organisation,
                template=template,
                objective=objective,
                requests=whole[0],
                missed=whole[1],
                budget_left=1 - _burn_rate(whole, objective),
                short_burn=_burn_rate(short, objective),
                long_burn=_burn_rate(long, objective),
            )
        )
    return sorted(rows, key=lambda row: -row.short_burn)
