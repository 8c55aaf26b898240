"""A message with its place in the exchange."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """One message on a connection.

    :param call_id: Identity of the call, 0 for a notice without a reply.
    :param is_reply: Whether the message answers a call.
    :param message: An instance of a type of :mod:`radishlanding.message`.
    """

    call_id: int
    is_reply: bool
    message: object
