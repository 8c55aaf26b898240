"""All findings of one input, raised together."""

from radishlanding.findings.finding import Finding


class InvalidInput(ExceptionGroup[Finding]):
    """Hold every finding of one input."""

    def derive(self, excs):
        """Return a group of the same type for a subset of findings."""
        return InvalidInput(self.message, excs)

    def lines(self):
        """Return one line of text for each finding."""
        return [str(exc) for exc in self.exceptions]
