"""Entry point of ``radishlanding-entry``."""

import sys

from radishlanding.entry.program import EntryProgram
from radishlanding.settings import run_program


def main():
    """Run an entry process."""
    sys.exit(run_program("entry", EntryProgram))
