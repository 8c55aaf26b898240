"""Bounds the requests in flight at an entry."""

import contextlib

from radishlanding.http import Problem

NORMAL_SHARE = 0.8


class Admission:
    """Admit requests up to bounds of the process and the organisation."""

    __slots__ = ("_by_organisation", "_cfg_watch", "_in_flight", "_max")

    def __init__(self, *, max_requests, cfg_watch):
        """Start with none in flight.

        :param max_requests: Bound for the process; requests that are not
            urgent may fill only a part of it.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        """
        self._max = max_requests
        self._cfg_watch = cfg_watch
        self._in_flight = 0
        self._by_organisation = {}

    @contextlib.contextmanager
    def admit(self, req):
        """Hold a place for a request.

        :raises Problem: 429, there is none.
        """
        name = req.organisation
        held = self._by_organisation.get(name, 0)
        quota = self._cfg_watch.document.organisations[name].requests
        if held >= quota:
            raise Problem(
                status=429, reason=f"{name} has {quota} requests in flight"
            )
        limit = self._max if req.is_urgent else self._max * NORMAL_SHARE
        if self._in_flight >= limit:
            raise Problem(status=429, reason="the entry is overloaded")
        self._in_flight += 1
        self._by_organisation[name] = held + 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._by_organisation[name] -= 1
