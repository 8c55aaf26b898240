"""One process of the product, started by a test."""

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
    """Start, watch and end a process."""

    __slots__ = ("_changed", "_folder", "name", "popen", "ports", "program")

    def __init__(self, *, program, name, folder):
        """Prepare a process.

        :param program: Name of the program, without its prefix.
        :param name: Name for its files.
        :param folder: Folder for its settings and log.
        """
        self._changed = trio.Event()
        self._folder = folder
        self.name = name
        self.popen = None
        self.ports = {}
        self.program = program

    async def start(self, nursery, settings):
        """Start it and wait until it listens.

        :param settings: Its settings by key.
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
        """Return whether it has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def send(self, signum):
        """Send it a signal, if it is running."""
        if self.is_running:
            self.popen.send_signal(signum)

    def freeze(self):
        """Stop it for a while; :meth:`thaw` lets it go on."""
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Let it go on."""
        self.send(signal.SIGCONT)

    async def kill(self):
        """Kill it at once."""
        if self.popen is not None:
            self.send(signal.SIGKILL)
            await self.popen.wait()

    async def stop(self):
        """Ask it to end and return its exit status."""
        self.send(signal.SIGTERM)
        with trio.fail_after(STOP_TIMEOUT_S):
            return await self.popen.wait()
