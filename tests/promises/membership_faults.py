"""Faults of target VMs."""

import trio

from tests.promises.process_faults import pick_vm
from tests.standin.process import Process

DOWNTIME_S = 2.0


async def lose_vm(site):
    """Crash a VM for good."""
    await pick_vm(site).crash()


async def replace_vm(site):
    """Crash a VM and replace it by one of the same name and address."""
    vm = pick_vm(site)
    await vm.crash()
    await trio.sleep(DOWNTIME_S)
    vm.restart()
    await site.start_agent(vm)


async def lose_rack(site):
    """Crash all VMs of a rack and replace them."""
    rack = pick_vm(site).rack
    vms = [vm for vm in site.vms.values() if vm.rack == rack]
    for vm in vms:
        await vm.crash()
    await trio.sleep(DOWNTIME_S)
    for vm in vms:
        vm.restart()
        await site.start_agent(vm)


async def start_second_agent(site):
    """Start a second agent on a VM and kill it after 3 s."""
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
