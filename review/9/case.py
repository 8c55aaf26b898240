"""Two clients of queues with services of their own choose the same ID."""

import trio

from review import kit2

WATCH_S = 8.0
DESK = kit2.route("desk")
BILLS = kit2.route("bills", priority=2, service="billing")
ID = "0000000000000001"
OTHER_ID = ID if kit2.TROUBLE else "0000000000000002"


async def play(site):
    await trio.sleep(2)
    desk_job = {"spec": "work 0.5", "steps": [kit2.step(count=2)]}
    bills_job = {"spec": "work 0.6", "steps": [kit2.step(count=3)]}
    if await site.hand_in(DESK, ID, desk_job) != 200:
        raise kit2.CannotRun("the first job was not accepted")
    status = await site.hand_in(BILLS, OTHER_ID, bills_job)
    await trio.sleep(WATCH_S)
    state = await site.state(BILLS, OTHER_ID)
    specs = [run.spec for runner in site.runners for run in runner.history]
    done = specs.count(bills_job["spec"])
    site.record.line(
        f"the second job: answered with {status}, shown as {state},"
        f" {done} of its 3 tasks have run"
    )
    if status != 200 or done == 3:
        return []
    return [
        f"MIXED: the job of queue bills was accepted with {status} and is"
        f" shown as {state}, while {done} of its 3 tasks have run"
    ]


kit2.run_case(
    play,
    file=__file__,
    sides=6,
    routes=[DESK, BILLS],
    pools=(kit2.POOL, "billing"),
)
