"""The error of a worker whose address another worker has taken over."""


class WorkerReplaced(Exception):
    """The worker has ended, and so have all attempts that it ran."""
