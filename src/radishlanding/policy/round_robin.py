"""Routing in turn, as a baseline."""


class RoundRobin:
    """Choose the targets one after the other."""

    __slots__ = ("_last",)

    def __init__(self):
        """Start with the first."""
        self._last = ""

    def choose(self, targets):
        """Return the target after the one chosen last."""
        ordered = sorted(targets, key=lambda target: target.vm)
        if not ordered:
            return None
        after = [target for target in ordered if target.vm > self._last]
        chosen = after[0] if after else ordered[0]
        self._last = chosen.vm
        return chosen
