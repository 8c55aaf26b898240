"""A caller's request."""

import dataclasses
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request of a caller.

    :param key: Idempotency key; the same for each retry of the caller.
    :param has_generated_key: Whether the entry generated the key, so that no
        earlier attempt used it.
    :param organisation: Organisation that sends it.
    :param template: Name of its template.
    :param service: Service whose targets can serve it.
    :param is_idempotent: Whether it may run more than once.
    :param is_urgent: Whether it may use the capacity reserved for urgent
        requests.
    :param zones: Availability zones in which it may run.
    :param body: Body that is passed to the target.
    :param timeout_s: Time from arrival to the deadline, in seconds.
    :param deadline_s: Deadline on the monotonic clock, in seconds.
    """

    key: str
    has_generated_key: bool
    organisation: str
    template: str
    service: str
    is_idempotent: bool
    is_urgent: bool
    zones: list[str]
    body: bytes
    timeout_s: float
    deadline_s: float

    def remaining_s(self):
        """Return the seconds until the deadline, 0 after it."""
        return max(0.0, self.deadline_s - time.monotonic())
