"""Predicts when the best-effort tasks of a VM end."""

# What serving tasks can spare changes within tens of seconds, so that no
# prediction reaches further.
HORIZON_MS = 20_000.0
MIN_LEFT_MS = 0.001


def end_times_ms(works, budget):
    """Return when tasks that share a budget of headroom end.

    The budget is divided as :class:`PaceController` does it: earlier tasks
    are served first, and what a task leaves goes to the next one.

    :param works: Pairs of the headroom that a task takes at full pace and the
        run time that it has left at full pace, in milliseconds.
    :param budget: Headroom that the tasks may take, infinite where there are
        no serving tasks.
    :returns: Time to the end of each task in milliseconds, in the same order.
        What is left at ``HORIZON_MS`` is taken to run at full pace.
    """
    ends_ms = [0.0] * len(works)
    running = {number: left_ms for number, (_, left_ms) in enumerate(works)}
    now_ms = 0.0
    while running and now_ms < HORIZON_MS:
        paces = _paces(works, running, budget)
        step_ms = min(
            [running[number] / pace for number, pace in paces.items()],
            default=HORIZON_MS,
        )
        step_ms = min(step_ms, HORIZON_MS - now_ms)
        now_ms += step_ms
        for number, pace in paces.items():
            running[number] -= pace * step_ms
            # Rounding may leave a rest of the task that ends next.
            if running[number] <= MIN_LEFT_MS:
                del running[number]
                ends_ms[number] = now_ms
    for number, left_ms in running.items():
        ends_ms[number] = HORIZON_MS + left_ms
    return ends_ms


def _paces(works, running, budget):
    """Return the pace of each task that runs, as a share of the full one."""
    paces = {}
    for number in running:
        cost = works[number][0]
        pace = min(1.0, budget / cost) if cost else 1.0
        if pace <= 0:
            break
        paces[number] = pace
        budget -= pace * cost
    return paces
