"""One line of the burn report."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class BurnRow:
    """The service level of one template.

    :param organisation: Organisation.
    :param template: Template.
    :param objective: Share of requests to be answered in time.
    :param requests: Requests over the history.
    :param missed: Requests that were not answered in time.
    :param budget_left: Share of the error budget over the history that is
        left; negative when overspent.
    :param short_burn: Burn rate over the short window; 1 spends the budget
        exactly.
    :param long_burn: Burn rate over the long window.
    """

    organisation: str
    template: str
    objective: float
    requests: int
    missed: int
    budget_left: float
    short_burn: float
    long_burn: float
