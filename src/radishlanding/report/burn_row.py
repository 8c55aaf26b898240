"""A row of the burn report."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class BurnRow:
    """The error budget and burn rates of one template.

    :param organisation: Name of the organisation.
    :param template: Name of the template.
    :param objective: Share of requests that are to succeed by their deadline.
    :param requests: Number of requests in the history.
    :param missed: Number of them that failed or missed their deadline.
    :param budget_left: Remaining share of the error budget of the history;
        negative if it is exceeded.
    :param short_burn: Burn rate over the short window; a rate of 1 uses up
        the error budget exactly.
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
