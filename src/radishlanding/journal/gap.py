"""The error of a journal with missing segments or snapshot chunks."""


class JournalGap(Exception):
    """Part of the journal is missing; the message has the segment number."""
