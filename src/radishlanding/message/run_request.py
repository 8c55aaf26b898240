"""Order to run an attempt of a request."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRequest:
    """Run one attempt of a request on a target of the VM.

    An entry sends it to an agent. The reply is a :class:`RunAnswer`.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param service: Service that serves the request.
    :param idempotent: Whether the request may run more than once.
    :param incarnation: Unique identity of the agent process that the message
        is for.
    :param clock_echo_ms: Latest time on the agent's clock that the entry has
        seen, in milliseconds.
    :param revision: Revision of the configuration that the entry has in force.
    :param timeout_ms: Time until the caller's deadline, in milliseconds.
    :param body: Body for the target.
    """

    key: str
    attempt: int
    service: str
    idempotent: bool
    incarnation: str
    clock_echo_ms: int
    revision: int
    timeout_ms: int
    body: bytes
