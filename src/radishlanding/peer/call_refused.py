"""Raised when a peer refuses a call."""


class CallRefused(Exception):
    """Hold the peer's reason."""

    def __init__(self, reason):
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason
