"""Routing to the least busy target, as a baseline."""


class LeastOutstanding:
    """Choose the target with the fewest requests in flight."""

    __slots__ = ()

    def choose(self, targets):
        """Return the least busy target."""
        return min(
            targets,
            key=lambda target: (target.outstanding, target.vm),
            default=None,
        )
