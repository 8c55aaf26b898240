"""Introduction of a VM to a dispatcher."""

import dataclasses

from radishlanding.message.vm_state import VmState


@dataclasses.dataclass(slots=True, kw_only=True)
class VmHello:
    """Introduce a VM to a dispatcher.

    An agent sends it on each new connection and when a leader announces
    itself. The reply is a :class:`VmWelcome`; a full report follows if the VM
    is accepted.

    :param vm: Identity of the VM.
    :param epoch: Highest epoch of a leader that the agent has followed.
    :param clock_ms: Time since boot on the agent's clock at sending, in
        milliseconds.
    :param state: State of the VM and its worker.
    :param reads_specs: Whether the agent reads the specs of
        :class:`StartOrders`; earlier builds do not.
    :param reads_proof_age: Whether the agent reads the age of the proof in
        :class:`VmReportAck`; earlier builds do not.
    """

    vm: str
    epoch: int
    clock_ms: int
    state: VmState
    reads_specs: bool = False
    reads_proof_age: bool = False
