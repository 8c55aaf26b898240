"""Faults that are injected into a platform site."""

import functools

import trio


async def _killed_leader(site):
    index = site.leader()
    await site.dispatchers[index].kill()
    await trio.sleep(0.5)
    await site.start_dispatcher(index)


async def _stopped_leader(site):
    index = site.leader()
    await site.dispatchers[index].stop()
    await site.start_dispatcher(index)


async def _frozen_leader(site):
    process = site.dispatchers[site.leader()]
    process.freeze()
    await trio.sleep(4.0)
    process.thaw()


async def _partitioned_leader(site):
    proxy = site.store_proxies[site.leader()]
    await proxy.refuse()
    await trio.sleep(4.0)
    proxy.heal()


async def _killed_agent(site):
    machine = site.machines[0]
    await machine.agent.kill()
    await trio.sleep(0.3)
    await machine.start_agent()


async def _frozen_agent(site):
    site.machines[0].agent.freeze()
    await trio.sleep(7.0)
    site.machines[0].agent.thaw()


async def _killed_processes(site):
    for process in site.processes():
        await process.kill()
    async with trio.open_nursery() as nursery:
        for index in range(len(site.dispatchers)):
            nursery.start_soon(site.start_dispatcher, index)
        for machine in site.machines:
            nursery.start_soon(machine.start_agent)


async def _killed_processes_twice(site):
    await _killed_processes(site)
    await trio.sleep(0.4)
    await _killed_processes(site)


async def _store_mode(site, *, mode):
    site.store.mode = mode
    await trio.sleep(3.0)
    site.store.mode = ""


async def _store_lossy(site):
    site.store.loss_probability = 0.3
    await trio.sleep(4.0)
    site.store.loss_probability = 0.0


async def _store_late(site):
    site.store.late_probability = 0.3
    await trio.sleep(4.0)
    site.store.late_probability = 0.0


async def _store_slow(site):
    site.store.delay_s = 0.25
    await trio.sleep(4.0)
    site.store.delay_s = 0.0


async def _history_compacted(site):
    for _ in range(4):
        site.store.compact_history()
        site.set_config()
        await trio.sleep(0.3)


async def _leases_revoked(site):
    for _ in range(3):
        site.store.revoke_all_leases()
        await trio.sleep(0.8)


async def _silent_connections(site):
    for proxy in (*site.store_proxies, *site.peer_proxies):
        proxy.blackhole()
    await trio.sleep(3.0)


async def _late_orders(site):
    for machine in site.machines:
        machine.runner.late_probability = 0.25
    await trio.sleep(4.0)
    for machine in site.machines:
        machine.runner.late_probability = 0.0


async def _restarted_workers(site):
    for machine in site.machines:
        await machine.reboot_runner()
        await trio.sleep(0.8)


async def _silent_worker(site):
    site.machines[0].runner.is_silent = True
    await trio.sleep(6.0)
    site.machines[0].runner.is_silent = False


async def _killed_processes_without_store(site):
    site.store.mode = "silent"
    await _killed_processes(site)
    await trio.sleep(1.5)
    site.store.mode = ""


FAULTS = {
    "nothing": trio.lowlevel.checkpoint,
    "the leader is killed": _killed_leader,
    "the leader is stopped": _stopped_leader,
    "the leader is frozen": _frozen_leader,
    "the leader is cut from the store": _partitioned_leader,
    "an agent is killed": _killed_agent,
    "an agent is frozen past its lease": _frozen_agent,
    "everything is killed": _killed_processes,
    "everything is killed, twice": _killed_processes_twice,
    "the store is busy": functools.partial(_store_mode, mode="busy"),
    "the store is silent": functools.partial(_store_mode, mode="silent"),
    "the store loses answers": _store_lossy,
    "the store writes late": _store_late,
    "the store is slow": _store_slow,
    "the store forgets its history": _history_compacted,
    "the store revokes leases": _leases_revoked,
    "open connections go silent": _silent_connections,
    "workers carry orders out late": _late_orders,
    "workers start again": _restarted_workers,
    "a worker is silent past its deadline": _silent_worker,
    "all is killed while the store is down": _killed_processes_without_store,
}


async def inject_fault(site, name):
    """Inject a fault.

    :param site: A :class:`tests.standin.platform_site.PlatformSite`.
    :param name: A key of ``FAULTS``.
    """
    fault = FAULTS[name]
    if name == "nothing":
        await fault()
    else:
        await fault(site)
