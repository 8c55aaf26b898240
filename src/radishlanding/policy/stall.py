"""A workflow whose assigned attempts do not run."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Stall:
    """For how long nothing of a workflow has run, and what it waits for.

    :param stalled_ms: For how long, in milliseconds.
    :param vms: Identities of the VMs with attempts that have had the time to
        start, and are not known to run.
    """

    stalled_ms: int
    vms: frozenset[str]
