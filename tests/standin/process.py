"""A process under test."""

import pathlib
import signal
import subprocess
import sys

import trio

BIN_DIR = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 45.0


def _toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


class Process:
    """Start, signal and stop one process."""

    __slots__ = ("_changed", "_folder", "name", "popen", "ports", "program")

    def __init__(self, *, program, name, folder):
        """Prepare a process.

        :param program: Name of the program, without ``radishlanding-``.
        :param name: Base name of its settings and log files.
        :param folder: Folder of these files.
        """
        self._changed = trio.Event()
        self._folder = folder
        self.name = name
        self.popen = None
        self.ports = {}
        self.program = program

    async def start(self, nursery, settings):
        """Start the process and wait until it listens.

        :param settings: Settings by key.
        """
        self.ports = {}
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            "".join(f"{key} = {_toml(val)}\n" for key, val in settings.items())
        )
        self.popen = await trio.lowlevel.open_process(
            [str(BIN_DIR / f"radishlanding-{self.program}"), str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        nursery.start_soon(self._read_log, self.popen)
        ready_ports = {
            "agent": "announce",
            "dispatcher": "http",
            "entry": "http",
            "scheduler": "peer",
            "vmagent": "reports",
        }
        with trio.fail_after(START_TIMEOUT_S):
            while ready_ports[self.program] not in self.ports:
                await self._changed.wait()

    async def _read_log(self, popen):
        log = (self._folder / f"{self.name}.log").open("ab")
        partial = b""
        with log:
            async for data in popen.stdout:
                log.write(data)
                log.flush()
                *lines, partial = (partial + data).split(b"\n")
                for line in lines:
                    self._parse_line(line.decode())
        await popen.wait()

    def _parse_line(self, line):
        pairs = dict(
            pair.partition("=")[::2] for pair in line.split() if "=" in pair
        )
        if pairs.get("event") == "listening":
            for kind in ("announce", "http", "peer", "ready", "reports"):
                if kind in pairs:
                    self.ports[kind] = pairs[kind]
            self._changed.set()
            self._changed = trio.Event()

    @property
    def is_running(self):
        """Return whether the process has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def send(self, signum):
        """Send a signal if the process is running."""
        if self.is_running:
            self.popen.send_signal(signum)

    def freeze(self):
        """Suspend the process until :meth:`thaw`."""
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Continue the suspended process."""
        self.send(signal.SIGCONT)

    async def kill(self):
        """Send SIGKILL and wait for the exit."""
        if self.popen is not None:
            self.send(signal.SIGKILL)
            await self.popen.wait()

    async def stop(self):
        """Send SIGTERM, wait and return the exit status."""
        self.send(signal.SIGTERM)
        with trio.fail_after(STOP_TIMEOUT_S):
            return await self.popen.wait()
