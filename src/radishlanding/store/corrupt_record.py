"""The error of a stored record that cannot be decoded."""


class CorruptRecord(Exception):
    """A record is corrupt; the message names its type and the reason."""
