"""Run one attempt of a request on a VM's target."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRequest:
    """Run one attempt of a request on a VM's target.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param service: Service that serves the request.
    :param idempotent: Whether another attempt may run.
    :param incarnation: Agent incarnation that is meant.
    :param clock_echo_ms: Newest agent clock that the sender had seen.
    :param revision: Configuration revision of the sender.
    :param timeout_ms: Time left until the caller's deadline.
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
