"""Starts a fake store with a client."""

import functools

from radishlanding.etcd import EtcdStore
from radishlanding.http import HttpServer
from radishlanding.observe import Counters
from radishlanding.store import CallBudget
from tests.standin.store import FakeStore


async def open_store(bridge, *, proxy=None):
    """Start a fake store; return it and a client.

    :param bridge: The scenario's :class:`Bridge`.
    :param proxy: Proxy between the client and the store, or None.
    :returns: A :class:`FakeStore` and an :class:`EtcdStore`.
    """
    fake = FakeStore()
    port = await bridge.nursery.start(
        functools.partial(
            HttpServer(handler=fake).run, host="127.0.0.1", port=0
        )
    )
    bridge.nursery.start_soon(fake.sweep)
    address = f"127.0.0.1:{port}"
    if proxy is not None:
        proxy.upstream = address
        await proxy.start(bridge.nursery)
        address = proxy.address
    store = EtcdStore(
        address=address,
        budget=CallBudget(rate=1000.0, burst=1000.0),
        counters=Counters(),
    )
    return fake, store
