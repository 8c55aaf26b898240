"""Faults of the target VMs."""

import trio

from tests.promises.process_faults import first_vm
from tests.standin.process import Process

AWAY_S = 2.0


async def lose_vm(site):
    """Lose a VM with all that is on it, for good."""
    await first_vm(site).crash()


async def replace_vm(site):
    """Lose a VM; another of the same name and address takes its place."""
    vm = first_vm(site)
    await vm.crash()
    await trio.sleep(AWAY_S)
    vm.restart()
    await site.start_agent(vm)


async def lose_rack(site):
    """Lose all VMs of a rack; they are replaced later."""
    rack = first_vm(site).rack
    vms = [vm for vm in site.vms.values() if vm.rack == rack]
    for vm in vms:
        await vm.crash()
    await trio.sleep(AWAY_S)
    for vm in vms:
        vm.restart()
        await site.start_agent(vm)


async def double_agent(site):
    """Start a second agent on a VM, then end it."""
    vm = first_vm(site)
    first = vm.agent
    vm.agent = Process(
        program="agent", name=f"{vm.name}-second", folder=site.folder
    )
    await site.start_agent(vm)
    await trio.sleep(3.0)
    await vm.agent.kill()
    vm.agent = first
    vm.target.agent_address = first.ports["announce"]
