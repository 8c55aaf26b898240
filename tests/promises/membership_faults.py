"""Faults of the target VMs."""

import trio

from tests.promises.process_faults import pick_vm
from tests.standin.process import Process

DOWNTIME_S = 2.0


async def lose_vm(site):
    """Lose a VM with all that is on it, for good."""
    await pick_vm(site).crash()


async def replace_vm(site):
    """Lose a VM; another of the same name and address takes its place."""
    vm = pick_vm(site)
    await vm.crash()
    await trio.sleep(DOWNTIME_S)
    vm.restart()
    await site.start_agent(vm)


async def lose_rack(site):
    """Lose all VMs of a rack; they are replaced later."""
    rack = pick_vm(site).rack
    vms = [vm for vm in site.vms.values() if vm.rack == rack]
    for vm in vms:
        await vm.crash()
    await trio.sleep(DOWNTIME_S)
    for vm in vms:
        vm.restart()
        await site.start_agent(vm)


async def start_second_agent(site):
    """Start a second agent on a VM, then end it."""
    vm = pick_vm(site)
    original = vm.agent
    vm.agent = Process(
        program="agent", name=f"{vm.name}-second", folder=site.folder
    )
    await site.start_agent(vm)
    await trio.sleep(3.0)
    await vm.agent.kill()
    vm.agent = original
    vm.target.agent_address = original.ports["announce"]
