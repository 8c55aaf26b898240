"""Measures what a process and its connections hold."""

import pathlib

import trio

SAMPLE_INTERVAL_S = 0.02
LISTENING = "0A"


class ProcessUsage:
    """Record the highest use of memory and descriptors of a process.

    :param hwm_bytes: Highest resident memory of the process, in bytes.
    :param queued_bytes: Most bytes that the kernel held unread or unsent for
        its ports at one sample, in bytes.
    :param descriptors: Most open descriptors at one sample.
    """

    __slots__ = ("_pid", "_ports", "descriptors", "hwm_bytes", "queued_bytes")

    def __init__(self, *, pid, ports):
        """Start with nothing measured; :meth:`run` measures.

        :param pid: Process ID.
        :param ports: Local ports whose connections count.
        """
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self.hwm_bytes = self.queued_bytes = self.descriptors = 0

    async def run(self):
        """Measure until cancelled or until the process has ended."""
        while True:
            try:
                self.measure()
            except (FileNotFoundError, ProcessLookupError):
                return
            await trio.sleep(SAMPLE_INTERVAL_S)

    def measure(self):
        """Take one sample."""
        proc = pathlib.Path(f"/proc/{self._pid}")
        descriptors = sum(1 for _ in (proc / "fd").iterdir())
        self.descriptors = max(self.descriptors, descriptors)
        for line in (proc / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.hwm_bytes = int(line.split()[1]) * 1024
        self.queued_bytes = max(self.queued_bytes, self._queued_bytes())

    def _queued_bytes(self):
        """Return the bytes in the queues of connections to the ports."""
        total = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            _, local, _, state, queues, *_ = line.split()
            if state != LISTENING and local.partition(":")[2] in self._ports:
                sent, received = queues.split(":")
                total += int(sent, 16) + int(received, 16)
        return total
