"""Case 12: jobs within all limits end every dispatcher by their memory.

Clients hand in large jobs that are due tomorrow. Each dispatcher runs with
the memory of a small deployment's machine; the platform, played here, kills a
process that exceeds it and starts it again, as DEPLOY.md says.
"""

import json
import os
import pathlib
import signal
import sys
import time

import trio

from review.kit3 import Site

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# limits.memoryMb and limits.maxFds of a front machine in DEPLOY.md.
MEMORY_MB = 300
MAX_FDS = 4100
RESTART_DELAY_S = 0.5
# The flood: jobs, and clients that hand them in one after the other.
JOBS = 260
CLIENTS = 4
FLOOD_S = 55.0
# The site file's limit of a request's body, as the config gives it.
MAX_BODY_BYTES = 262_144
# `finish_s` of the sites in force, and how long clients go on asking.
FINISH_S = 14.0
ASK_S = 12.0
# RULES.md, Fault: a process that ends by itself three times, on two machines.
FAULT_ENDS = 3
FAULT_MACHINES = 2
DAY_MS = 86_400_000


def large_job():
    """Return a valid job of 1,000 steps, each after the 40 before it."""
    steps = [
        {
            "count": 1,
            "cpu": 500,
            "memMb": 100,
            "estimatedMs": 300,
            "after": list(range(max(0, number - 40), number)),
        }
        for number in range(1000)
    ]
    body = json.dumps(
        {
            "spec": "work",
            "steps": steps,
            "repeatCount": 1,
            "firstRunMs": int(time.time() * 1000) + DAY_MS,
        },
        separators=(",", ":"),
    ).encode()
    assert len(body) < MAX_BODY_BYTES
    return body


async def watch_memory(site, ends):
    """Kill and restart a dispatcher that exceeds its memory."""
    rounds = 0
    while True:
        for program in site.dispatchers:
            if not program.is_running or not program.ports:
                continue
            held_mb = program.rss_mb()
            if rounds % 40 == 0:
                site.record.write(f"{program.name} holds {held_mb:.0f} MB")
            if held_mb > MEMORY_MB:
                ends[program.name] = ends.get(program.name, 0) + 1
                site.record.write(
                    f"{program.name} holds {held_mb:.0f} MB of {MEMORY_MB}:"
                    f" the platform kills it, time {ends[program.name]}"
                )
                program.send(signal.SIGKILL)
                site.nursery.start_soon(restart, program)
        rounds += 1
        await trio.sleep(0.05)


async def restart(program):
    await program.popen.wait()
    program.ports = {}
    await trio.sleep(RESTART_DELAY_S)
    await program.start()


async def flood(site, number, accepted):
    """Hand in every ``CLIENTS``-th job, each up to five times."""
    body = large_job()
    clients = [site.client(item) for item in site.dispatchers]
    for job in range(number, JOBS, CLIENTS):
        name = f"{0xF100D00000000000 + job:016x}"
        for attempt in range(5):
            client = clients[(number + attempt) % len(clients)]
            status, _ = await client.send("POST", name, body)
            if status == 200:
                accepted.append(name)
                break
            await trio.sleep(0.3)


async def submit_ordinary(site, name):
    """Hand an ordinary job in, at each dispatcher in turn."""
    step = {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 300}
    for attempt in range(60):
        client = site.client(site.dispatchers[attempt % 3])
        if await client.submit(name, [step]) == 200:
            return True
        await trio.sleep(0.3)
    return False


async def ask(site, names):
    """Return the states that any dispatcher gives within ``ASK_S``."""
    states = dict.fromkeys(names, "no answer")
    with trio.move_on_after(ASK_S):
        while "no answer" in states.values():
            for dispatcher in site.dispatchers:
                client = site.client(dispatcher)
                for name in names:
                    if states[name] == "no answer":
                        found = await client.state(name)
                        states[name] = found or "no answer"
            await trio.sleep(0.2)
    return states


async def main():
    async with Site.open(FOLDER, max_s=118) as site:
        site.set_config(limits={"maxBodyBytes": MAX_BODY_BYTES})
        for _ in range(3):
            site.add_dispatcher(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
        for _ in range(2):
            site.add_machine()
        await site.start()
        ordinary = "%016x" % 1
        if not await submit_ordinary(site, ordinary):
            site.record.write("the site does not serve an ordinary job")
            return 2
        with trio.move_on_after(10):
            while await site.client(site.dispatchers[0]).state(ordinary) != (
                "completed"
            ):
                await trio.sleep(0.2)
        ends, accepted = {}, []
        site.nursery.start_soon(watch_memory, site, ends)
        with trio.move_on_after(FLOOD_S):
            async with trio.open_nursery() as clients:
                for number in range(CLIENTS if TROUBLE else 0):
                    clients.start_soon(flood, site, number, accepted)
        site.record.write(f"end of the traffic: {len(accepted)} large jobs accepted")
        await trio.sleep(FINISH_S)
        states = await ask(site, [ordinary, *accepted[:2]])
        site.record.write(f"states: {states}")
        site.record.write(f"ends by memory: {ends or 'none'}")
        is_fault = (
            sum(count >= FAULT_ENDS for count in ends.values())
            >= FAULT_MACHINES
        )
        is_lost = any(
            state in ("no answer", "absent") for state in states.values()
        )
        site.record.write(
            f"Fault {'broken' if is_fault else 'held'},"
            f" LOST {'broken' if is_lost else 'held'}"
        )
        return 1 if is_fault or is_lost else 0


if __name__ == "__main__":
    try:
        sys.exit(trio.run(main))
    except BaseExceptionGroup as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
