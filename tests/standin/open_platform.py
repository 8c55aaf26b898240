"""Starts servers of the fake platform."""

import functools

import trio

from radishlanding.http import HttpServer
from tests.standin.platform_store import PlatformStore


async def serve(nursery, handler, *, address="127.0.0.1:0"):
    """Serve a handler, by default on a free port; return its address."""
    host, _, port = address.rpartition(":")
    port = await nursery.start(
        functools.partial(
            HttpServer(handler=handler).run, host=host, port=int(port)
        )
    )
    return f"{host}:{port}"


async def serve_until_cancelled(
    handler, scope, address, *, task_status=trio.TASK_STATUS_IGNORED
):
    """Serve a handler until a scope ends, which breaks its connections.

    :param handler: An :class:`radishlanding.http.HttpHandler`.
    :param scope: The :class:`trio.CancelScope`.
    :param address: ``ip:port``; port 0 stands for any free one.
    :param task_status: Receives the address.
    """
    with scope:
        async with trio.open_nursery() as nursery:
            task_status.started(await serve(nursery, handler, address=address))
            await trio.sleep_forever()


async def open_platform_store(nursery):
    """Start a :class:`PlatformStore`; return it and its address."""
    store = PlatformStore()
    store.nursery = nursery
    address = await serve(nursery, store)
    nursery.start_soon(store.sweep)
    return store, address
