"""Why an assigned attempt is not known to run."""

import enum


class StartState(enum.StrEnum):
    """What is known of an assigned attempt that is not known to run.

    ``UNREACHABLE``: the agent of its VM has no session here.
    ``SILENT``: the worker of its VM leaves calls unanswered.
    ``UNORDERED``: no report lists it yet.
    ``UNCONFIRMED``: the worker has not confirmed its start.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    UNORDERED = "unordered"
    UNCONFIRMED = "unconfirmed"
