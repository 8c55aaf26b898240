"""Raised to end a command."""


class CommandFailed(Exception):
    """Hold the lines for standard error and the exit status."""

    def __init__(self, *lines, status):
        """Keep both.

        :param lines: Lines for standard error.
        :param status: An :class:`ExitStatus`.
        """
        super().__init__("\n".join(lines))
        self.lines = lines
        self.status = status
