"""Figures of a workflow that depend on its steps alone."""


class WorkflowShape:
    """Hold what is computed from all steps of a workflow, once.

    Each round of placement needs the figures of each open workflow. A
    workflow may have 1,000 steps, with some 60 predecessors each.
    """

    __slots__ = (
        "critical_path_ms",
        "is_standing",
        "size",
        "steps",
        "successors",
    )

    def __init__(self, steps):
        """Walk over the steps.

        :param steps: The :class:`Step` objects, each after those that it
            depends on; neither the list nor they change.
        """
        self.steps = steps
        self.is_standing = any(step.standing for step in steps)
        # Steps and predecessors, which a walk over all of them takes.
        self.size = len(steps) + sum(len(step.after) for step in steps)
        self.successors = [[] for _ in steps]
        ends_ms = []
        for number, step in enumerate(steps):
            start_ms = max(
                (ends_ms[earlier] for earlier in step.after), default=0
            )
            ends_ms.append(start_ms + step.estimated_ms)
            for earlier in set(step.after):
                self.successors[earlier].append(number)
        self.critical_path_ms = max(ends_ms, default=0)
