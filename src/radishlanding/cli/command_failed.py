"""Failure of a command."""


class CommandFailed(Exception):
    """Raised to end a command with an error message and an exit status."""

    def __init__(self, *lines, status):
        """Initialise the exception.

        :param lines: Lines for standard error.
        :param status: An :class:`ExitStatus`.
        """
        super().__init__("\n".join(lines))
        self.lines = lines
        self.status = status
