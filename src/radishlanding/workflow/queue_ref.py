"""Reference to a queue."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class QueueRef:
    """Refers to the queue of a workflow, or of a request about one.

    Operators may rename a queue or move it to another URL while its workflows
    are open, so one of the two is enough to recognise it.

    :param name: Name of the queue, empty if unknown.
    :param base_url: Host and path prefix of its requests, empty if unknown.
    """

    name: str = ""
    base_url: str = ""

    def matches(self, other):
        """Return whether both refer to the same queue.

        Messages of builds that tell workflows apart by their identity alone
        name no queue, and match each one.

        :param other: Another :class:`QueueRef`.
        """
        if not self.name or not other.name or self.name == other.name:
            return True
        return bool(self.base_url) and self.base_url == other.base_url
