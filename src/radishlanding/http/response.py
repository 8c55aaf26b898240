"""HTTP response."""

import dataclasses
import json

from radishlanding.findings import decode_json


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpResponse:
    """Response with its complete body.

    :param status: Status code.
    :param headers: Values by lower-case name.
    :param body: Body as bytes.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    @classmethod
    def of_json(cls, value, *, status=200):
        """Return a response whose body is a value as JSON."""
        return cls(
            status=status,
            headers={"content-type": "application/json"},
            body=json.dumps(value).encode() + b"\n",
        )

    def json(self):
        """Return the body as a JSON object, an empty body as ``{}``.

        :raises ValueError: The body is not a JSON object.
        """
        value = decode_json(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError("the body is no JSON object")
        return value
