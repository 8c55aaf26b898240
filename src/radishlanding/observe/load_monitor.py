"""Reports what slows a process down."""

import collections
import time

import trio

from radishlanding.observe.event_log import EventLog

SAMPLE_INTERVAL_S = 0.5
# Covers the timeout of a call and what was sent before it.
SAMPLES_KEPT = 4
# A process that is scheduled this late reads answers late, too.
MIN_REPORTED_LAG_S = 0.1
FAILURES = "store_failures"
AMOUNTS = (
    FAILURES,
    "peer_sent_bytes",
    "peer_received_bytes",
    "store_sent_bytes",
    "store_received_bytes",
)

_log = EventLog("radishlanding.observe")


class LoadMonitor:
    """Measure how late the event loop runs, and what was sent meanwhile.

    Tells the causes of late answers apart: the lag rises where processor
    time is short, the bytes where the link is full, and neither does where
    the store or a peer is silent.
    """

    __slots__ = ("_counters", "_on_sample")

    def __init__(self, *, counters, on_sample=None):
        """Prepare the monitor; :meth:`run` measures.

        :param counters: The process's :class:`Counters`.
        :param on_sample: Callable that is called at each sample, every
            ``SAMPLE_INTERVAL_S``, or None.
        """
        self._counters = counters
        self._on_sample = on_sample

    async def run(self):
        """Measure until cancelled.

        Where the loop ran late or a store call failed, the lag is logged with
        what was sent and received in the last two seconds.
        """
        kept = collections.deque(maxlen=SAMPLES_KEPT)
        while True:
            kept.append(self._counters.snapshot())
            cpu_s, started_s = time.process_time(), trio.current_time()
            await trio.sleep(SAMPLE_INTERVAL_S)
            if self._on_sample is not None:
                self._on_sample()
            took_s = trio.current_time() - started_s
            lag_s = took_s - SAMPLE_INTERVAL_S
            self._counters.record_duration("loop_lag", since_s=0, now_s=lag_s)
            failures = self._counters.get(FAILURES) - kept[-1].get(FAILURES, 0)
            if lag_s > MIN_REPORTED_LAG_S or failures:
                _log.info(
                    "load",
                    lag_s=f"{lag_s:.3f}",
                    cpu_s=f"{time.process_time() - cpu_s:.3f}",
                    **{
                        name: self._counters.get(name) - kept[0].get(name, 0)
                        for name in AMOUNTS
                    },
                )
