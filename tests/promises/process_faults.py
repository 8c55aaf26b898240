"""Faults of the processes under test."""

import trio

from tests.standin.record import now_s

FREEZE_S = 9.0
RESTART_DELAY_S = 0.5


def pick_vm(site):
    """Return a VM with running tasks, or a default one."""
    running = site.record.running()
    return site.vms[running[0].vm] if running else site.vms["bole-vm0"]


def owner_entry_vm(site):
    """Return the entry VM whose scheduler owns the first shard."""
    owner = site.store.read("owner/0000") or {"process_id": ""}
    for entry_vm in site.entry_vms:
        if owner["process_id"].startswith(entry_vm.scheduler.name):
            return entry_vm
    return site.entry_vms[0]


async def kill_agent(site):
    """Kill an agent and restart it."""
    vm = pick_vm(site)
    await vm.agent.kill()
    await trio.sleep(RESTART_DELAY_S)
    await site.start_agent(vm)


async def freeze_agent(site):
    """Suspend an agent until its lease has expired."""
    vm = pick_vm(site)
    started_s = now_s()
    vm.agent.freeze()
    await trio.sleep(FREEZE_S)
    vm.agent.thaw()
    site.record.outages.append((vm.name, started_s, now_s()))


async def kill_owner(site):
    """Kill the owner of the shard and restart it after 4.5 s."""
    entry_vm = owner_entry_vm(site)
    await entry_vm.scheduler.kill()
    await trio.sleep(4.5)
    await site.start_scheduler(entry_vm)


async def freeze_owner(site):
    """Suspend the owner of the shard until its lease has expired."""
    scheduler = owner_entry_vm(site).scheduler
    scheduler.freeze()
    await trio.sleep(FREEZE_S)
    scheduler.thaw()


async def kill_entry(site):
    """Kill an entry and restart it after 1 s."""
    entry_vm = site.entry_vms[0]
    await entry_vm.entry.kill()
    await trio.sleep(1.0)
    await site.start_entry(entry_vm)


async def freeze_entry(site):
    """Suspend an entry for 5 s."""
    entry = site.entry_vms[0].entry
    entry.freeze()
    await trio.sleep(5.0)
    entry.thaw()


async def kill_everything(site):
    """Kill every process and restart all of them at once."""
    for process in site.processes():
        await process.kill()
    async with trio.open_nursery() as nursery:
        for entry_vm in site.entry_vms:
            nursery.start_soon(site.start_entry, entry_vm)
            nursery.start_soon(site.start_scheduler, entry_vm)
        for vm in site.vms.values():
            nursery.start_soon(site.start_agent, vm)
