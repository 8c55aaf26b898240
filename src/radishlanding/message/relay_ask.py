"""Pass an ask on to the agent of a VM."""

import dataclasses

from radishlanding.message.ask_request import AskRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class RelayAsk:
    """Pass an ask on to the agent of a VM.

    :param vm: Identity of the VM.
    :param ask: The ask.
    """

    vm: str
    ask: AskRequest
