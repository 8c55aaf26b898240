"""The report of error budgets and their burn rates."""

from radishlanding.report.burn_history import BurnHistory
from radishlanding.report.burn_row import BurnRow
from radishlanding.report.rows import make_rows

__all__ = ["BurnHistory", "BurnRow", "make_rows"]
