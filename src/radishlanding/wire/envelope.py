"""Envelope of a message on a connection."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """Message with the call that it belongs to.

    :param call_id: Identity of the call on its connection, 0 for a notice,
        which gets no reply.
    :param is_reply: Whether the message is the reply to the call.
    :param message: An instance of a type of :mod:`radishlanding.message`.
    """

    call_id: int
    is_reply: bool
    message: object
