"""An agent introduces its VM."""

import dataclasses

from radishlanding.message.vm_state import VmState


@dataclasses.dataclass(slots=True, kw_only=True)
class VmHello:
    """Introduce a VM; a full report follows when it is accepted.

    :param vm: Identity of the VM.
    :param epoch: Highest epoch of a leader that was followed.
    :param clock_ms: The agent's clock, in milliseconds.
    :param state: What the VM is.
    """

    vm: str
    epoch: int
    clock_ms: int
    state: VmState
