"""The faults under which the promises are proved."""

import trio

from tests.promises import membership_faults
from tests.promises import process_faults
from tests.promises import store_faults


async def no_fault(_site):
    """Do nothing."""


def together(first, second):
    """Return a fault of two at once."""

    async def both(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, site)
            nursery.start_soon(second, site)

    return both


def twice(fault):
    """Return a fault that happens twice in a row."""

    async def again(site):
        await fault(site)
        await trio.sleep(1.0)
        await fault(site)

    return again


def blackhole(place, **directions):
    """Return a fault that lets open connections go silent for good."""

    async def go_silent(site):
        for proxy in place(site):
            proxy.blackhole(**directions)
        await trio.sleep(3.0)

    return go_silent


def schedulers(site):
    """Return the proxies before the schedulers."""
    return [entry_vm.scheduler_peers for entry_vm in site.entry_vms]


def entries(site):
    """Return the proxies before the entries."""
    return [entry_vm.entry_peers for entry_vm in site.entry_vms]


def stores(site):
    """Return the proxies before the store."""
    return [
        proxy
        for entry_vm in site.entry_vms
        for proxy in (entry_vm.entry_store, entry_vm.scheduler_store)
    ]


def workers(site):
    """Return the proxies before the workers."""
    return [vm.worker_proxy for vm in site.vms.values()]


def targets(site):
    """Return the proxies before the targets."""
    return [vm.target_proxy for vm in site.vms.values()]


async def cut_callers(site):
    """Cut the callers' connections three times."""
    for _ in range(3):
        for entry_vm in site.entry_vms:
            await entry_vm.http.cut()
        await trio.sleep(0.5)


async def cross_answers(site):
    """Let targets answer with another request's identity for a while."""
    for vm in site.vms.values():
        vm.target.crosses_answers = True
    await trio.sleep(2.0)
    for vm in site.vms.values():
        vm.target.crosses_answers = False


async def cut_targets(site):
    """Cut the connections to targets again and again."""
    for _ in range(10):
        for proxy in targets(site):
            await proxy.cut()
        await trio.sleep(0.1)


async def fail_everything(site):
    """Let one worker fail all its tasks for a while."""
    worker = next(iter(site.vms.values())).worker
    worker.fails_all_tasks = True
    await trio.sleep(4.0)
    worker.fails_all_tasks = False


async def refuse_checkpoints(site):
    """Take a zone out while its workers can make no checkpoint."""
    zone = site.plan.zones[0]
    vms = [vm for vm in site.vms.values() if vm.zone == zone]
    for vm in vms:
        vm.worker.fails_checkpoints = True
    await site.move_zone(zone, "out")
    await trio.sleep(2.0)
    for vm in vms:
        vm.worker.fails_checkpoints = False
    await site.move_zone(zone, "in")


async def move_zone(site):
    """Take a zone out for a while and bring it back."""
    zone = site.plan.zones[0]
    await site.move_zone(zone, "out")
    await trio.sleep(4.0)
    await site.move_zone(zone, "in")


FAULTS = {
    "nothing": no_fault,
    "agent killed": process_faults.kill_agent,
    "agent frozen past its lease": process_faults.freeze_agent,
    "VM dies and is replaced": membership_faults.replace_vm,
    "VM dies and stays away": membership_faults.lose_vm,
    "rack dies": membership_faults.lose_rack,
    "two agents on one VM": membership_faults.double_agent,
    "owner killed": process_faults.kill_owner,
    "owner frozen past its lease": process_faults.freeze_owner,
    "entry killed": process_faults.kill_entry,
    "entry frozen": process_faults.freeze_entry,
    "everything killed": process_faults.kill_everything,
    "silent to schedulers": blackhole(schedulers),
    "silent towards schedulers only": blackhole(schedulers, down=False),
    "silent from schedulers only": blackhole(schedulers, up=False),
    "silent to entries": blackhole(entries),
    "silent towards entries only": blackhole(entries, down=False),
    "silent to the store": blackhole(stores),
    "silent to workers": blackhole(workers),
    "silent to targets": blackhole(targets),
    "callers cut": cut_callers,
    "targets cut": cut_targets,
    "targets cross answers": cross_answers,
    "store down": store_faults.down,
    "store down past the grace": store_faults.down_long,
    "store slow": store_faults.slow,
    "store loses answers": store_faults.lose_answers,
    "store restored with older content": store_faults.go_back,
    "leases of the store lapse": store_faults.lapse_leases,
    "worker fails everything": fail_everything,
    "checkpoints refused": refuse_checkpoints,
    "zone out and in": move_zone,
    "owner killed, VM dies": together(
        process_faults.kill_owner, membership_faults.replace_vm
    ),
    "owner killed, store down": together(
        process_faults.kill_owner, store_faults.down
    ),
    "agent killed, silent to schedulers": together(
        process_faults.kill_agent, blackhole(schedulers)
    ),
    "entry killed, agent killed": together(
        process_faults.kill_entry, process_faults.kill_agent
    ),
    "owner killed twice": twice(process_faults.kill_owner),
    "agent killed twice": twice(process_faults.kill_agent),
    "store loses answers, owner frozen": together(
        store_faults.lose_answers, process_faults.freeze_owner
    ),
}
