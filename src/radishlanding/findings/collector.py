"""Collects findings until an input has been read to its end."""

from radishlanding.findings.finding import Finding
from radishlanding.findings.invalid_input import InvalidInput


class Collector:
    """Collect findings of one input."""

    __slots__ = ("_findings", "_source")

    def __init__(self, *, source):
        """Start with no findings.

        :param source: Name of the input, usually a file name.
        """
        self._source = source
        self._findings = []

    def add(self, *, key, problem):
        """Add a finding at a key of the input."""
        place = f"{self._source}: {key}" if key else self._source
        self._findings.append(Finding(place=place, problem=problem))

    def raise_if_any(self):
        """Raise all findings together, if there are any.

        :raises InvalidInput: At least one finding was added.
        """
        if self._findings:
            count = len(self._findings)
            raise InvalidInput(
                f"{self._source}: {count} findings", self._findings
            )
