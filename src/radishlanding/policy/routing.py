"""How a target is chosen for a request."""

import typing


class Routing(typing.Protocol):
    """Choose a target."""

    def choose(self, targets):
        """Return the target for a request.

        :param targets: Target views that may take it.
        :returns: One of them, or None if there is none.
        """
