"""Interface of routing policies."""

import typing


class Routing(typing.Protocol):
    """Choose a target for each request."""

    def choose(self, targets):
        """Return the target for a request.

        :param targets: :class:`TargetView` objects that may take it.
        :returns: One of them, or None if there is none.
        """
