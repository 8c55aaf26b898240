"""Fake of the platform's advisor."""

import trio

from radishlanding.http import HttpResponse

MAX_WORKERS = 100
MAX_WAITING = 32


class PlatformAdvisor:
    """Permit a set of runners; decide one call at a time."""

    __slots__ = (
        "_decide_s",
        "_lock",
        "_permitted",
        "_waiting",
        "is_unresponsive",
    )

    def __init__(self, *, permitted, decide_s=0.0):
        """Prepare the advisor.

        :param permitted: IDs of the runners to permit.
        :param decide_s: Time of a decision, in seconds.
        """
        self._decide_s = decide_s
        self._lock = trio.Lock()
        self._permitted = permitted
        self._waiting = 0
        self.is_unresponsive = False

    async def respond(self, req):
        """Return the response to a call."""
        if req.path != ["-", "advise"] or req.method != "POST":
            return HttpResponse(status=404)
        if self._waiting >= MAX_WAITING:
            return HttpResponse(status=429)
        self._waiting += 1
        try:
            async with self._lock:
                return await self._decide(req.json())
        finally:
            self._waiting -= 1

    async def _decide(self, fields):
        if self.is_unresponsive:
            await trio.sleep_forever()
        if len(fields["workers"]) > MAX_WORKERS:
            return HttpResponse(status=400)
        await trio.sleep(self._decide_s)
        rows = [
            [name, f"ticket-{name}"]
            for name in fields["workers"]
            if name in self._permitted
        ]
        return HttpResponse.of_json({"good": rows})
