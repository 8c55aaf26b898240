"""The error of a watch whose start revision has been compacted."""


class HistoryCompacted(Exception):
    """The changes are no longer stored; the prefix must be listed again."""
