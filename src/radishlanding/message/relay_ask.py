"""Query of an attempt's outcome through a scheduler."""

import dataclasses

from radishlanding.message.ask_request import AskRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class RelayAsk:
    """Relay a query to the agent of a VM.

    An entry that cannot reach the agent sends it to the owner of the VM's
    shard. The reply is the agent's :class:`RunAnswer`.

    :param vm: Identity of the VM.
    :param ask: The query to relay.
    """

    vm: str
    ask: AskRequest
