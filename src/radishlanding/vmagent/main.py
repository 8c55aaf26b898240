"""Command line of ``radishlanding-vmagent``."""

import sys

from radishlanding.settings import run_program
from radishlanding.vmagent.program import VmAgentProgram


def main():
    """Run the agent for workers that run workflow tasks."""
    sys.exit(run_program("vmagent", VmAgentProgram))


if __name__ == "__main__":
    main()
