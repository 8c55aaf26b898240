"""Command line of ``radishlanding-scheduler``."""

import sys

from radishlanding.scheduler.program import SchedulerProgram
from radishlanding.settings import run_program


def main():
    """Run the scheduler and exit with its status."""
    sys.exit(run_program("scheduler", SchedulerProgram))
