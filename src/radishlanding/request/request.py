"""A caller's request."""

import dataclasses
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller.

    :param key: Identity; the same for each retry of the caller.
    :param is_fresh: Whether the key was made here and never used before.
    :param organisation: Organisation that it belongs to.
    :param template: Name of its template.
    :param service: Service that serves it.
    :param is_idempotent: Whether it may run more than once.
    :param is_urgent: Whether it goes before other requests.
    :param zones: Availability zones that may run it.
    :param body: Body for the target.
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
        """Return the seconds left, 0 when the deadline has passed."""
        return max(0.0, self.deadline_s - time.monotonic())
