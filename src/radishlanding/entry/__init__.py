"""The entry: the HTTP front end for callers and operators."""

from radishlanding.entry.program import EntryProgram

__all__ = ["EntryProgram"]
