"""A problem of an input, with its location."""


class Finding(ValueError):
    """A problem at one location of an input."""

    def __init__(self, *, location, problem):
        """Initialise the finding.

        :param location: File and key, for example ``site.toml: zones.bole``.
        :param problem: What is wrong, in one sentence without a full stop.
        """
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem
