"""One fault of an input and its place."""


class Finding(ValueError):
    """Say what is wrong with one place of an input."""

    def __init__(self, *, place, problem):
        """Keep the place and the problem.

        :param place: File and key, for example ``site.toml: zones.bole``.
        :param problem: What is wrong, in one sentence without a full stop.
        """
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem
