"""Checks of network addresses."""

import ipaddress

MAX_PORT = 65535


def find_address_problem(text, *, is_zero_allowed=False):
    """Return what is wrong with an ``ip:port``, or an empty string.

    :param text: The address.
    :param is_zero_allowed: Whether port 0 is valid, as it is to listen on
        any free port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f"{text!r} is not ip:port"
    if not (port.isascii() and port.isdecimal()) or len(port) > 5:
        return f"{text!r} must have a port from 0 to {MAX_PORT}"
    if int(port) > MAX_PORT:
        return f"{text!r} must have a port from 0 to {MAX_PORT}"
    if int(port) == 0 and not is_zero_allowed:
        return f"{text!r} has port 0, to which nothing can connect"
    return ""
