"""The entry: the front end of callers and operators."""

from radishlanding.entry.program import EntryProgram

__all__ = ["EntryProgram"]
