"""Error for bytes that are not a message."""


class MalformedMessage(ValueError):
    """Raised when bytes cannot be decoded as a message."""
