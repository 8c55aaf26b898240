"""Kinds of work."""

import enum


class Kind(enum.StrEnum):
    """Whether a template describes requests or batch jobs."""

    REQUEST = "request"
    BATCH = "batch"
