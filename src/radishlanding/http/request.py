"""HTTP request."""

import dataclasses
import urllib.parse

from radishlanding.findings import decode_json
from radishlanding.http.http_error import HttpError


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpRequest:
    """Request with its complete body.

    :param method: Method in upper case.
    :param target: Path and query.
    :param headers: Values by lower-case name.
    :param body: Body as bytes.
    """

    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self):
        """Return the segments of the path, percent-decoded."""
        path = self.target.partition("?")[0]
        return [urllib.parse.unquote(part) for part in path.split("/") if part]

    @property
    def query(self):
        """Return the last value of each query parameter."""
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query))

    def json(self):
        """Return the body as a JSON object.

        :raises HttpError: 400 if the body is not a JSON object.
        """
        try:
            value = decode_json(self.body or b"{}")
        except ValueError as exc:
            raise HttpError(status=400, reason=f"body is no JSON: {exc}")
        if not isinstance(value, dict):
            raise HttpError(status=400, reason="body is no JSON object")
        return value
