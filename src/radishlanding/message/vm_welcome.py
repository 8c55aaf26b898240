"""The answer to an agent that introduces itself."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmWelcome:
    """Accept an agent, or send it elsewhere.

    :param accepted: Whether the sender leads and takes the VM.
    :param epoch: Epoch of its leadership.
    :param fence: Fencing token for the agent's calls to the worker.
    """

    accepted: bool
    epoch: int
    fence: int
