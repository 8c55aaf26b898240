"""A job is cancelled while the front that got it stands still."""

import signal

import trio

from review import kit2

# A front stands still for 4 s at most, as the site file's node_freeze says.
FREEZE_S = 4.0
# The client leaves after this time, within its deadline.
LEAVE_S = 0.3
WATCH_S = 6.0
QUEUE = kit2.route("desk")
JOB = "5c0e7a21d94b36f8"


async def play(site):
    body = {
        "spec": "work 2.0",
        "steps": [
            kit2.step(estimatedMs=2000),
            kit2.step(estimatedMs=2000, after=[0]),
        ],
    }
    # The site serves a job in calm.
    if await site.hand_in(QUEUE, "0000000000000001", body) != 200:
        raise kit2.CannotRun("no job is accepted in calm")
    await trio.sleep(kit2.CONTACT_S)
    leader = kit2.leader(site)
    front = (leader + 1) % len(site.fronts)
    other = (leader + 2) % len(site.fronts)
    site.record.line(f"front-{leader} leads")
    if kit2.TROUBLE:
        site.fronts[front].send(signal.SIGSTOP)
        site.record.line(f"front-{front} stands still")
    frozen_s = trio.current_time()
    with trio.move_on_after(LEAVE_S):
        await site.call("POST", QUEUE, JOB, body=body, front=front)
    site.record.line("the client has left")
    status, _ = await site.call("DELETE", QUEUE, JOB, front=other)
    if status not in (200, 204, 410):
        raise kit2.CannotRun("the cancelling was not acknowledged")
    acked_s = kit2.now_s()
    await trio.sleep_until(frozen_s + FREEZE_S)
    site.fronts[front].send(signal.SIGCONT)
    site.record.line(f"front-{front} goes on")
    await trio.sleep(WATCH_S)
    state = await site.state(QUEUE, JOB)
    site.record.line(f"the job is shown as {state}")
    return [
        f"UNASKED: task {run.task} was started {run.started_s - acked_s:.2f} s"
        f" after the job's cancelling was acknowledged with {status}"
        for run in site.starts(JOB)
        if run.started_s - acked_s > kit2.CANCEL_S
    ]


kit2.run_case(play, file=__file__, routes=[QUEUE])
