"""Entry point of ``radishlanding-dispatcher``."""

import sys

from radishlanding.dispatcher.program import DispatcherProgram
from radishlanding.settings import run_program


def main():
    """Run a dispatcher process."""
    sys.exit(run_program("dispatcher", DispatcherProgram))


if __name__ == "__main__":
    main()
