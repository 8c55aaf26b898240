"""Accept an agent, or name the owner of its shard."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class HelloAnswer:
    """Accept an agent, or name the owner of its shard.

    :param accepted: Whether this scheduler owns the VM's shard.
    :param reason: Why the agent was not accepted.
    :param owner_epoch: Epoch of the ownership, 0 if unknown.
    :param address: Peer address of the owner, if known.
    """

    accepted: bool
    reason: str
    owner_epoch: int
    address: str
