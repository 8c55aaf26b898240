"""Detects that nobody listens at an address."""


def is_refused(exc):
    """Return whether the host refused the connection.

    trio raises the failures of all tried addresses as an exception group.

    :param exc: The error of an attempt to connect, or one caused by it.
    """
    if isinstance(exc, BaseExceptionGroup):
        return all(is_refused(inner) for inner in exc.exceptions)
    if isinstance(exc, ConnectionRefusedError):
        return True
    return exc.__cause__ is not None and is_refused(exc.__cause__)
