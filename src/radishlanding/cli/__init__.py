"""The operators' command line."""

from radishlanding.cli.main import main

__all__ = ["main"]
