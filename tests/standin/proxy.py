"""A TCP proxy that injects faults."""

import functools

import trio

READ_BYTES = 64 * 1024


class _Pipe:
    """One proxied connection."""

    __slots__ = ("caller", "is_deaf_down", "is_deaf_up", "proxy", "server")

    def __init__(self, *, proxy, caller, server):
        self.proxy = proxy
        self.caller = caller
        self.server = server
        self.is_deaf_up = False
        self.is_deaf_down = False

    def is_deaf(self, is_up):
        return self.is_deaf_up if is_up else self.is_deaf_down

    async def pump(self, source, sink, is_up):
        try:
            while data := await source.receive_some(READ_BYTES):
                self.proxy.bytes += len(data)
                await trio.sleep(self.proxy.delay_s)
                if self.is_deaf(is_up) or self.proxy.drops(is_up):
                    continue
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if self.is_deaf_up or self.is_deaf_down:
            # The other end never learns of the close.
            await trio.sleep_forever()
        await trio.aclose_forcefully(self.caller)
        await trio.aclose_forcefully(self.server)


class Proxy:
    """Forward connections to an upstream, with faults."""

    __slots__ = (
        "_pipes",
        "address",
        "bytes",
        "delay_s",
        "is_refusing",
        "drops_responses",
        "upstream",
    )

    def __init__(self):
        """Start without an upstream and without faults."""
        self._pipes = set()
        self.address = ""
        self.bytes = 0
        self.delay_s = 0.0
        self.is_refusing = False
        self.drops_responses = False
        self.upstream = ""

    def drops(self, is_up):
        """Return whether bytes of a direction are swallowed."""
        return self.drops_responses and not is_up

    async def start(self, nursery):
        """Listen on a free port of loopback."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        nursery.start_soon(
            functools.partial(trio.serve_listeners, self._serve, listeners)
        )

    async def _serve(self, caller):
        if self.is_refusing or not self.upstream:
            await trio.aclose_forcefully(caller)
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        pipe = _Pipe(proxy=self, caller=caller, server=server)
        self._pipes.add(pipe)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pipe.pump, caller, server, True)
                nursery.start_soon(pipe.pump, server, caller, False)
        finally:
            self._pipes.discard(pipe)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(caller)
                await trio.aclose_forcefully(server)

    def blackhole(self, *, up=True, down=True):
        """Let open connections go silent for good; new ones work."""
        for pipe in self._pipes:
            pipe.is_deaf_up |= up
            pipe.is_deaf_down |= down

    async def cut(self):
        """Close all open connections."""
        for pipe in list(self._pipes):
            await trio.aclose_forcefully(pipe.caller)
            await trio.aclose_forcefully(pipe.server)

    async def refuse(self):
        """Close all connections, and new ones until :meth:`heal`."""
        self.is_refusing = True
        await self.cut()

    def heal(self):
        """Forward new connections again."""
        self.delay_s = 0.0
        self.is_refusing = False
        self.drops_responses = False
