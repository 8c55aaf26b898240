"""The error of a store that was rolled back to older content."""


class JournalRolledBack(Exception):
    """Written segments are gone; the message has the first one's number."""
