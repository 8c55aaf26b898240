"""Faults under which the guarantees are checked."""

import trio

from tests.promises import membership_faults
from tests.promises import process_faults
from tests.promises import store_faults


async def do_nothing(_site):
    """Do nothing."""


def combine(first, second):
    """Return a fault that injects two faults at once."""

    async def run_both(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, site)
            nursery.start_soon(second, site)

    return run_both


def repeat_twice(fault):
    """Return a fault that injects another twice in a row."""

    async def run_twice(site):
        await fault(site)
        await trio.sleep(1.0)
        await fault(site)

    return run_twice


def blackhole(get_proxies, **directions):
    """Return a fault that blackholes open connections.

    :param get_proxies: Function from a site to the affected proxies.
    :param directions: Arguments of :meth:`Proxy.blackhole`.
    """

    async def blackhole_connections(site):
        for proxy in get_proxies(site):
            proxy.blackhole(**directions)
        await trio.sleep(3.0)

    return blackhole_connections


def scheduler_proxies(site):
    """Return the proxies of the schedulers."""
    return [entry_vm.scheduler_peers for entry_vm in site.entry_vms]


def entry_proxies(site):
    """Return the proxies of the entries."""
    return [entry_vm.entry_peers for entry_vm in site.entry_vms]


def store_proxies(site):
    """Return the proxies of the store."""
    return [
        proxy
        for entry_vm in site.entry_vms
        for proxy in (entry_vm.entry_store, entry_vm.scheduler_store)
    ]


def worker_proxies(site):
    """Return the proxies of the workers."""
    return [vm.worker_proxy for vm in site.vms.values()]


def target_proxies(site):
    """Return the proxies of the targets."""
    return [vm.target_proxy for vm in site.vms.values()]


async def cut_callers(site):
    """Close the connections of callers three times."""
    for _ in range(3):
        for entry_vm in site.entry_vms:
            await entry_vm.http.cut()
        await trio.sleep(0.5)


async def cross_answers(site):
    """Make targets answer with the previous request's ID for 2 s."""
    for vm in site.vms.values():
        vm.target.crosses_answers = True
    await trio.sleep(2.0)
    for vm in site.vms.values():
        vm.target.crosses_answers = False


async def cut_targets(site):
    """Close the connections to targets ten times."""
    for _ in range(10):
        for proxy in target_proxies(site):
            await proxy.cut()
        await trio.sleep(0.1)


async def fail_all_tasks(site):
    """Make one worker fail all its tasks for 4 s."""
    worker = next(iter(site.vms.values())).worker
    worker.fails_all_tasks = True
    await trio.sleep(4.0)
    worker.fails_all_tasks = False


async def fail_checkpoints(site):
    """Take a zone out of service while its checkpoints fail."""
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
    """Take a zone out of service for 4 s."""
    zone = site.plan.zones[0]
    await site.move_zone(zone, "out")
    await trio.sleep(4.0)
    await site.move_zone(zone, "in")


FAULTS = {
    "nothing": do_nothing,
    "agent killed": process_faults.kill_agent,
    "agent frozen past its lease": process_faults.freeze_agent,
    "VM dies and is replaced": membership_faults.replace_vm,
    "VM dies and stays away": membership_faults.lose_vm,
    "rack dies": membership_faults.lose_rack,
    "two agents on one VM": membership_faults.start_second_agent,
    "owner killed": process_faults.kill_owner,
    "owner frozen past its lease": process_faults.freeze_owner,
    "entry killed": process_faults.kill_entry,
    "entry frozen": process_faults.freeze_entry,
    "everything killed": process_faults.kill_everything,
    "silent to schedulers": blackhole(scheduler_proxies),
    "silent towards schedulers only": blackhole(scheduler_proxies, down=False),
    "silent from schedulers only": blackhole(scheduler_proxies, up=False),
    "silent to entries": blackhole(entry_proxies),
    "silent towards entries only": blackhole(entry_proxies, down=False),
    "silent to the store": blackhole(store_proxies),
    "silent to workers": blackhole(worker_proxies),
    "silent to targets": blackhole(target_proxies),
    "callers cut": cut_callers,
    "targets cut": cut_targets,
    "targets cross answers": cross_answers,
    "store down": store_faults.take_down,
    "store down past the grace": store_faults.down_past_grace,
    "store slow": store_faults.slow_down,
    "store loses answers": store_faults.drop_responses,
    "store restored with older content": store_faults.roll_back,
    "leases of the store lapse": store_faults.expire_leases,
    "worker fails everything": fail_all_tasks,
    "checkpoints refused": fail_checkpoints,
    "zone out and in": move_zone,
    "owner killed, VM dies": combine(
        process_faults.kill_owner, membership_faults.replace_vm
    ),
    "owner killed, store down": combine(
        process_faults.kill_owner, store_faults.take_down
    ),
    "agent killed, silent to schedulers": combine(
        process_faults.kill_agent, blackhole(scheduler_proxies)
    ),
    "entry killed, agent killed": combine(
        process_faults.kill_entry, process_faults.kill_agent
    ),
    "owner killed twice": repeat_twice(process_faults.kill_owner),
    "agent killed twice": repeat_twice(process_faults.kill_agent),
    "store loses answers, owner frozen": combine(
        store_faults.drop_responses, process_faults.freeze_owner
    ),
}
