"""Faults of the key-value store."""

import trio


def _proxies(site):
    for entry_vm in site.entry_vms:
        yield entry_vm.entry_store
        yield entry_vm.scheduler_store


async def _down_for(site, duration_s):
    for proxy in _proxies(site):
        await proxy.refuse()
    await trio.sleep(duration_s)
    for proxy in _proxies(site):
        proxy.heal()


async def take_down(site):
    """Make the store unreachable for 5 s."""
    await _down_for(site, 5.0)


async def down_past_grace(site):
    """Make the store unreachable until all VM leases have expired."""
    plan = site.plan
    await _down_for(site, plan.owner_grace_s + plan.vm_lease_s + 3.0)


async def slow_down(site):
    """Delay the store's traffic for 6 s."""
    for proxy in _proxies(site):
        proxy.delay_s = 0.4
    await trio.sleep(6.0)
    for proxy in _proxies(site):
        proxy.heal()


async def drop_responses(site):
    """Drop the responses of the store for 4 s."""
    for proxy in _proxies(site):
        proxy.drops_responses = True
    await trio.sleep(4.0)
    for proxy in _proxies(site):
        proxy.heal()
        await proxy.cut()


async def roll_back(site):
    """Roll the store back to its content of 3 s before."""
    content = site.store.dump()
    await trio.sleep(3.0)
    site.store.restore(content)
    await trio.sleep(1.0)


async def expire_leases(site):
    """Expire every lease of the store."""
    site.store.expire_all_leases()
    await trio.sleep(1.0)
