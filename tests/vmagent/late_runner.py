"""A runner of the platform that carries out unanswered calls late."""

import trio

from radishlanding.http import HttpResponse
from radishlanding.vm import boot_clock_s

# A runner may answer a poll before its wait has passed.
MAX_POLL_WAIT_S = 0.5


class LateRunner:
    """Leave starts and stops unanswered, and carry them out seconds later.

    It keeps runs until they are stopped, and refuses a start whose own
    deadline has passed.
    """

    __slots__ = (
        "_born_ms",
        "_born_s",
        "_ended",
        "_nursery",
        "_refused_up_to",
        "arrivals",
        "fate_of",
        "ran",
        "running",
        "stopped",
    )

    def __init__(self, *, nursery, fate_of, age_s=0.0):
        """Create a runner without runs.

        :param nursery: Nursery that late calls are carried out in.
        :param fate_of: Callable that takes a call's name and its number,
            from 0, and returns a :class:`CallFate`.
        :param age_s: Time since its boot, in seconds.
        """
        self._nursery = nursery
        self.fate_of = fate_of
        # Names and tasks of the calls so far.
        self.arrivals = []
        # Keys of all runs that have begun, on any boot.
        self.ran = []
        # Times at which stops were carried out, by key.
        self.stopped = {}
        self._born_ms = 0
        self.boot(age_s=age_s)

    def boot(self, *, age_s=0.0):
        """Begin a new boot, which knows nothing of the last."""
        self._born_ms += 1000
        self._born_s = boot_clock_s() - age_s
        self._ended = []
        self._refused_up_to = {}
        self.running = {}

    def clock_ms(self):
        """Return the time since the boot, in milliseconds."""
        return int((boot_clock_s() - self._born_s) * 1000)

    def count_of(self, call):
        """Return how many calls of a kind have arrived."""
        return sum(name == call for name, _task in self.arrivals)

    async def respond(self, req):
        """Return the response to a call of the agent."""
        raw, call = req.json(), req.path[1]
        if call == "hold":
            wait_s = min(raw.get("waitMs", 0) / 1000, MAX_POLL_WAIT_S)
            await trio.sleep(wait_s)
            return self._list(raw)
        fate = self.fate_of(call, self.count_of(call))
        self.arrivals.append((call, raw["task"]))
        if not fate.is_answered:
            self._nursery.start_soon(self._execute, call, raw, fate)
            await trio.sleep_forever()
        return await self._execute(call, raw, fate)

    async def _execute(self, call, raw, fate):
        await trio.sleep(fate.delay_s)
        if fate.refusal:
            return self._answer(409, reason=fate.refusal)
        return self._start(raw) if call == "run-start" else self._stop(raw)

    def _answer(self, status, **fields):
        return HttpResponse.of_json(
            {"clockMs": self.clock_ms(), "born": self._born_ms, **fields},
            status=status,
        )

    def _start(self, raw):
        task, number = raw["task"], raw["run"]
        if self.running.get(task) == number:
            return self._answer(200)
        if number <= self._refused_up_to.get(task, 0):
            return self._answer(409, reason="old")
        if raw["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self.running[task] = number
        self.ran.append((task, number))
        return self._answer(200)

    def _stop(self, raw):
        task, number = raw["task"], raw["run"]
        self.stopped.setdefault((task, number), boot_clock_s())
        if self.running.pop(task, None) is not None:
            self._ended.append(
                [len(self._ended) + 1, task, number, "stopped", ""]
            )
        self._refused_up_to[task] = number
        return self._answer(200)

    def _list(self, raw):
        settled = raw.get("ackedUpto", 0)
        return self._answer(
            200,
            running=[
                [task, number, "", 0, 0.0]
                for task, number in self.running.items()
            ],
            ended=[row for row in self._ended if row[0] > settled],
        )
