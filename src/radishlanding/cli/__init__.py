"""Command line for operators."""

from radishlanding.cli.main import main

__all__ = ["main"]
