"""The error of an owner that has been replaced."""


class Fenced(Exception):
    """Another process owns the journal; the message has the evidence."""
