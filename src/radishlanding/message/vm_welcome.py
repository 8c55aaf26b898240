"""Reply to the introduction of a VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmWelcome:
    """Accept a VM, or leave it to another dispatcher.

    A dispatcher replies with it to a :class:`VmHello`.

    :param accepted: Whether the sender leads and follows the VM.
    :param epoch: Epoch of the sender's leadership.
    :param fence: Fencing token for the agent's calls to the worker.
    :param leader: Address of the dispatcher that leads as far as the sender
        knows, empty if it leads itself or knows none.
    """

    accepted: bool
    epoch: int
    fence: int
    leader: str = ""
