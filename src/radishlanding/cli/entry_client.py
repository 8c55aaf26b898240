"""Client of the entries' operator API."""

import json

import trio

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus
from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient

_EXIT_STATUS_BY_HTTP_STATUS = {
    400: ExitStatus.BAD_INPUT,
    409: ExitStatus.CONFLICT,
    504: ExitStatus.UNKNOWN,
}


class EntryClient:
    """Call the entries in the order of the settings.

    The next entry is tried if one gives no answer, but a change that may
    have been made is not repeated.
    """

    __slots__ = ("_cfg",)

    def __init__(self, *, cfg):
        """Create a client without connecting.

        :param cfg: The :class:`radishlanding.settings.OperatorSettings`.
        """
        self._cfg = cfg

    @property
    def author(self):
        """Return the author that changes are recorded under."""
        return self._cfg.author

    def call(self, method, path, value=None):
        """Call the first entry that answers, and return its JSON answer.

        :param method: HTTP method.
        :param path: Path of the request.
        :param value: Body to encode as JSON, None for no body.
        :raises CommandFailed: No entry answered, or one refused the call.
        """
        status, answer = trio.run(self._call, method, path, value)
        if status >= 300:
            lines = [answer.get("error") or answer.get("reason", "")]
            lines += [
                f"  {key}: {old!r} is in force, not {new!r}"
                for key, old, new in answer.get("differs", ())
            ]
            raise CommandFailed(
                *lines,
                status=_EXIT_STATUS_BY_HTTP_STATUS.get(
                    status, ExitStatus.REFUSED
                ),
            )
        return answer

    async def _call(self, method, path, value):
        reasons = []
        for address in self._cfg.entries:
            try:
                return await self._call_one(address, method, path, value)
            except ExchangeFailed as exc:
                reasons.append(f"{address}: {exc.reason}")
                if exc.was_sent and method != "GET":
                    raise CommandFailed(
                        *reasons,
                        "the change may have been made",
                        status=ExitStatus.UNKNOWN,
                    )
        raise CommandFailed(*reasons, status=ExitStatus.UNREACHABLE)

    async def _call_one(self, address, method, path, value):
        client = HttpClient(address=address)
        body = b"" if value is None else json.dumps(value).encode()
        try:
            response = await client.send(
                method, path, body=body, timeout_s=self._cfg.timeout_s
            )
            return response.status, response.json()
        finally:
            await client.close()

    def call_each(self, path):
        """Send a GET to all entries, and return the JSON answers.

        Entries that do not answer are left out.

        :param path: Path of the request.
        :raises CommandFailed: No entry answered.
        """
        return trio.run(self._call_each, path)

    async def _call_each(self, path):
        answers = []
        for address in self._cfg.entries:
            try:
                _, answer = await self._call_one(address, "GET", path, None)
                answers.append(answer)
            except ExchangeFailed:
                continue
        if not answers:
            raise CommandFailed(
                "no entry answers", status=ExitStatus.UNREACHABLE
            )
        return answers
