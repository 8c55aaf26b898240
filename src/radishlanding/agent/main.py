"""Command line of ``radishlanding-agent``."""

import sys

from radishlanding.agent.program import AgentProgram
from radishlanding.settings import run_program


def main():
    """Run the agent."""
    sys.exit(run_program("agent", AgentProgram))
