"""Reply to an agent's first message."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class HelloAnswer:
    """Accept an agent, or name the owner of its shard.

    A scheduler replies with it to an :class:`AgentHello`.

    :param accepted: Whether the sender owns the VM's shard and follows the
        agent.
    :param reason: Why the agent is not accepted, empty if it is.
    :param owner_epoch: Epoch of the sender's shard ownership, 0 if it is not
        the owner.
    :param address: Peer address of the owner as ``ip:port``, empty if the
        sender does not know another owner.
    """

    accepted: bool
    reason: str
    owner_epoch: int
    address: str
