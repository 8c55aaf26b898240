"""Kinds of work."""

import enum


class Kind(enum.StrEnum):
    """How a template's work is served."""

    REQUEST = "request"
    BATCH = "batch"
