"""Least-outstanding-requests routing, as a baseline."""


class LeastOutstanding:
    """Choose the target with the fewest requests in flight."""

    __slots__ = ()

    def choose(self, targets):
        """Return the target with the fewest requests, None without any."""
        return min(
            targets,
            key=lambda target: (target.outstanding, target.vm),
            default=None,
        )
