"""A runner of the platform that leaves starts unanswered."""

import trio

from radishlanding.http import HttpResponse


class UnansweringRunner:
    """Record when calls arrive; carry out only the starts it answers."""

    __slots__ = (
        "_starts",
        "answers_start",
        "answers_stops",
        "arrivals",
        "running",
    )

    def __init__(self, *, answers_start):
        """Create a runner without attempts.

        :param answers_start: Callable that takes the number of a start, from
            0, and returns whether it is answered.
        """
        self.answers_start = answers_start
        self.answers_stops = True
        self._starts = 0
        # Tuples of call, task and time on trio's clock, in seconds.
        self.arrivals = []
        self.running = {}

    def arrivals_of(self, call):
        """Return the times at which calls arrived, the last one by task."""
        return {
            task: time_s
            for name, task, time_s in self.arrivals
            if name == call
        }

    def first_arrival_of(self, call, task):
        """Return the time at which a call of a task first arrived, or None."""
        times = [row[2] for row in self.arrivals if row[:2] == (call, task)]
        return min(times, default=None)

    async def respond(self, req):
        """Return the response to a call of the agent."""
        raw, call = req.json(), req.path[1]
        if call != "hold":
            self.arrivals.append((call, raw["task"], trio.current_time()))
        if call == "run-start":
            self._starts += 1
            if not self.answers_start(self._starts - 1):
                await trio.sleep_forever()
            self.running[raw["task"]] = raw["run"]
        if call == "run-stop":
            if not self.answers_stops:
                await trio.sleep_forever()
            self.running.pop(raw["task"], None)
        if call == "hold":
            await trio.sleep(raw.get("waitMs", 0) / 1000)
        return HttpResponse.of_json(
            {
                "clockMs": int(trio.current_time() * 1000),
                "born": 1000,
                "running": [
                    [task, number, "", 0, 0.0]
                    for task, number in self.running.items()
                ],
                "ended": [],
            }
        )
