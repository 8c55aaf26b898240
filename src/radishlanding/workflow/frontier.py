"""Steps of an occurrence that are ready."""


class Frontier:
    """Hold which steps of one occurrence are ready and not done.

    A step that is done costs a visit of those that directly depend on it, so
    that a round does not walk over all steps of a workflow.
    """

    __slots__ = ("_done", "_left", "_ready", "_successors", "_unmet")

    def __init__(self, *, steps, successors, done):
        """Count what each step waits for.

        :param steps: The :class:`Step` objects of the workflow.
        :param successors: For each step the numbers of those after it.
        :param done: Numbers of the steps that are done.
        """
        self._done = set(done)
        self._successors = successors
        self._unmet = [
            len(set(step.after).difference(self._done)) for step in steps
        ]
        self._left = len(steps) - len(self._done)
        self._ready = {
            number
            for number, unmet in enumerate(self._unmet)
            if not unmet and number not in self._done
        }

    @property
    def is_done(self):
        """Return whether all steps are done."""
        return not self._left

    def ready_steps(self):
        """Return the numbers of the ready steps that are not done."""
        return sorted(self._ready)

    def is_ready(self, number):
        """Return whether all steps that a step depends on are done."""
        return not self._unmet[number]

    def mark_done(self, number):
        """Record that a step is done."""
        if number in self._done:
            return
        self._done.add(number)
        self._left -= 1
        self._ready.discard(number)
        for later in self._successors[number]:
            self._unmet[later] -= 1
            if not self._unmet[later] and later not in self._done:
                self._ready.add(later)
