"""Admission control for the requests of an entry."""

import contextlib

from radishlanding.http import HttpError

# The rest of the capacity is reserved for urgent requests.
NON_URGENT_SHARE = 0.8


class Admission:
    """Limit the requests in flight, in total and by organisation."""

    __slots__ = (
        "_cfg_watch",
        "_in_flight",
        "_in_flight_by_organisation",
        "_max_requests",
    )

    def __init__(self, *, max_requests, cfg_watch):
        """Start with no requests in flight.

        :param max_requests: Limit for the process; non-urgent requests may
            use only ``NON_URGENT_SHARE`` of it.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        """
        self._max_requests = max_requests
        self._cfg_watch = cfg_watch
        self._in_flight = 0
        self._in_flight_by_organisation = {}

    @contextlib.contextmanager
    def admit(self, req):
        """Count a request as in flight while the context is open.

        :param req: A :class:`radishlanding.request.Request`.
        :raises HttpError: 429 if the quota of the organisation or the limit of
            the process is reached.
        """
        name = req.organisation
        in_flight = self._in_flight_by_organisation.get(name, 0)
        quota = self._cfg_watch.document.organisations[name].requests
        if in_flight >= quota:
            raise HttpError(
                status=429,
                reason=f"{name} has reached its quota of {quota} requests in "
                "flight",
            )
        limit = (
            self._max_requests
            if req.is_urgent
            else self._max_requests * NON_URGENT_SHARE
        )
        if self._in_flight >= limit:
            raise HttpError(status=429, reason="the entry is overloaded")
        self._in_flight += 1
        self._in_flight_by_organisation[name] = in_flight + 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._in_flight_by_organisation[name] -= 1
