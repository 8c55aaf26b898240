"""Collects the findings about an input."""

from radishlanding.findings.finding import Finding
from radishlanding.findings.invalid_input import InvalidInput


class Collector:
    """Collects findings about one input, to raise them together."""

    __slots__ = ("_findings", "_source")

    def __init__(self, *, source):
        """Start with no findings.

        :param source: Name of the input, usually a file name.
        """
        self._source = source
        self._findings = []

    def add(self, *, key, problem):
        """Add a finding about a key of the input.

        :param key: Key, or an empty string for the whole input.
        :param problem: What is wrong, in one sentence without a full stop.
        """
        location = f"{self._source}: {key}" if key else self._source
        self._findings.append(Finding(location=location, problem=problem))

    def raise_if_any(self):
        """Raise all findings in one group, if there are any.

        :raises InvalidInput: At least one finding was added.
        """
        if self._findings:
            count = len(self._findings)
            raise InvalidInput(
                f"{self._source}: {count} findings", self._findings
            )
