"""What answers the requests of an HTTP server."""

import typing


class HttpHandler(typing.Protocol):
    """Answer requests."""

    async def respond(self, req):
        """Return the response to a request.

        :param req: An :class:`radishlanding.http.HttpRequest`.
        :raises HttpError: The request is answered with an error.
        """
