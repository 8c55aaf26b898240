"""Processors that finite tasks can use."""

import collections


def finite_rooms(loads):
    """Return the room that standing tasks leave, in millicores by pool.

    Processors that serving tasks reserve and do not use count as room, since
    best-effort tasks may use them. Pacing can take part of it back.

    :param loads: :class:`VmLoad` objects.
    """
    rooms = collections.Counter()
    for load in loads:
        best_effort = sum(
            step.needs.millicores for step in load.best_effort_steps
        )
        # Of what is reserved but not expected to be used, only serving tasks
        # have any; see ``expected_millicores``.
        unused = load.idle_millicores + best_effort - load.free.millicores
        rooms[load.pool] += max(0.0, load.capacity.millicores - unused)
    return dict(rooms)
