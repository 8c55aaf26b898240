"""Bounds what is on its way over the link of a process."""

BITS_PER_BYTE = 8
# A call that queues behind a full window still meets its timeout of 0.8 s.
WINDOW_S = 0.25
# What was sent this long ago has left a link of the stated bandwidth, whether
# or not it was answered.
MAX_IN_FLIGHT_S = 2 * WINDOW_S
MIN_WINDOW_BYTES = 16 * 1024
# Tasks are placed once this share of the window is free. Smaller rounds cost
# as much processor time each, and repeat the specification.
MIN_ROOM_SHARE = 0.5
# Where the bandwidth is not known.
DEFAULT_LINK_MBPS = 1000.0


class SendWindow:
    """Bound the bytes of calls that wait for the link or are on it.

    It answers the load of many starts at once on a weak entry VM: without a
    bound they fill the link for seconds, and the calls that prove the
    leadership time out behind them.
    """

    __slots__ = ("_queued_bytes", "_sent", "size_bytes")

    def __init__(self, *, link_mbps):
        """Start with nothing to send.

        :param link_mbps: Bandwidth of the link, in megabits per second.
        """
        bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
        self.size_bytes = int(max(MIN_WINDOW_BYTES, bytes_per_s * WINDOW_S))
        self._queued_bytes = 0
        # Pairs of size and time of sending, by call.
        self._sent = {}

    def room_bytes(self, now_s):
        """Return how many more bytes may be queued now.

        :param now_s: Monotonic time, in seconds.
        :returns: The number, 0 while less than ``MIN_ROOM_SHARE`` is free.
        """
        used_bytes = self._queued_bytes + self._in_flight_bytes(now_s)
        room_bytes = self.size_bytes - used_bytes
        is_enough = room_bytes >= MIN_ROOM_SHARE * self.size_bytes
        return room_bytes if is_enough else 0

    def may_send(self, size_bytes, now_s):
        """Return whether a queued call may be sent.

        A call that is larger than the window is sent when nothing else is in
        flight.
        """
        in_flight_bytes = self._in_flight_bytes(now_s)
        return (
            not in_flight_bytes
            or in_flight_bytes + size_bytes <= self.size_bytes
        )

    def max_parallel(self, size_bytes):
        """Return how many calls of a size may be in flight, at least one."""
        return max(1, self.size_bytes // size_bytes)

    def _in_flight_bytes(self, now_s):
        return sum(
            size_bytes
            for size_bytes, sent_s in self._sent.values()
            if now_s - sent_s < MAX_IN_FLIGHT_S
        )

    def queue(self, size_bytes):
        """Record that a call of this size waits to be sent."""
        self._queued_bytes += size_bytes

    def record_sent(self, call, size_bytes, now_s):
        """Record that a queued call is sent.

        :param call: Object that stands for the call.
        """
        self._queued_bytes -= size_bytes
        self._sent[call] = size_bytes, now_s

    def record_answer(self, call):
        """Record that a call was answered or given up."""
        self._sent.pop(call, None)
