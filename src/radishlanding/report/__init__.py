"""The service-level burn report."""

from radishlanding.report.burn_book import BurnBook
from radishlanding.report.burn_row import BurnRow
from radishlanding.report.rows import make_rows

__all__ = ["BurnBook", "BurnRow", "make_rows"]
