"""The error of a journal with missing segments."""


class JournalGap(Exception):
    """Segments are missing; the message has the number of the first."""
