"""Starts servers of the fake platform."""

import functools

from radishlanding.http import HttpServer
from tests.standin.platform_store import PlatformStore


async def serve(nursery, handler):
    """Serve a handler on a free port; return its address."""
    port = await nursery.start(
        functools.partial(
            HttpServer(handler=handler).run, host="127.0.0.1", port=0
        )
    )
    return f"127.0.0.1:{port}"


async def open_platform_store(nursery):
    """Start a :class:`PlatformStore`; return it and its address."""
    store = PlatformStore()
    store.nursery = nursery
    address = await serve(nursery, store)
    nursery.start_soon(store.sweep)
    return store, address
