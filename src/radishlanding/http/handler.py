"""Interface of the request handlers of an HTTP server."""

import typing


class HttpHandler(typing.Protocol):
    """Respond to requests."""

    async def respond(self, req):
        """Return the response to a request.

        :param req: An :class:`radishlanding.http.HttpRequest`.
        :returns: An :class:`radishlanding.http.HttpResponse`.
        :raises HttpError: The response is an error.
        """
