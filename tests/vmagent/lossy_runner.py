"""A runner of the platform that leaves holds unanswered."""

import trio

from radishlanding.vm import boot_clock_s
from tests.standin.platform_runner import PlatformRunner


class LossyRunner(PlatformRunner):
    """Carry out the holds that it answers, and none of the others."""

    __slots__ = (
        "answers_starts",
        "answers_stops",
        "delay_s",
        "holds",
        "is_lost",
        "lost_s",
    )

    def __init__(self):
        """Create a runner without runs that answers every hold."""
        super().__init__(
            worker_id="i-1", zone="z0", pool="order-desk", record=[]
        )
        # Starts are carried out all the same, and stops are not.
        self.answers_starts = True
        self.answers_stops = True
        # How late holds are answered, in seconds.
        self.delay_s = 0.0
        # Number of holds that have arrived.
        self.holds = 0
        # Callable that takes a hold, and returns whether to leave it
        # unanswered.
        self.is_lost = lambda _hold: False
        # When holds arrived that got no answer, on the boot clock.
        self.lost_s = []

    @property
    def born_ms(self):
        """Return the Unix time of its start, in milliseconds."""
        return self._boot_ms

    async def respond(self, req):
        """Return the response to a call of the agent."""
        call = req.path[1]
        if call == "run-stop" and not self.answers_stops:
            await trio.sleep_forever()
        if call == "run-start" and not self.answers_starts:
            await super().respond(req)
            await trio.sleep_forever()
        if call == "hold":
            self.holds += 1
            if self.is_lost(req.json()):
                self.lost_s.append(boot_clock_s())
                await trio.sleep_forever()
            await trio.sleep(self.delay_s)
        return await super().respond(req)
