"""The error of an invalid input, with all its findings."""

from radishlanding.findings.finding import Finding


class InvalidInput(ExceptionGroup[Finding]):
    """The group of all findings about one input."""

    def derive(self, excs):
        """Return a group of the same type for a subset of findings."""
        return InvalidInput(self.message, excs)

    def lines(self):
        """Return one line of text for each finding."""
        return [str(exc) for exc in self.exceptions]
