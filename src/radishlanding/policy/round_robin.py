"""Round-robin routing, as a baseline."""


class RoundRobin:
    """Choose the targets in turn."""

    __slots__ = ("_last_vm",)

    def __init__(self):
        """Start with the first target."""
        self._last_vm = ""

    def choose(self, targets):
        """Return the target after the one chosen last."""
        ordered = sorted(targets, key=lambda target: target.vm)
        if not ordered:
            return None
        after = [target for target in ordered if target.vm > self._last_vm]
        chosen = after[0] if after else ordered[0]
        self._last_vm = chosen.vm
        return chosen
