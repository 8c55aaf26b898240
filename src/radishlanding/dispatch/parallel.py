"""Runs a few store calls at the same time."""

import trio

# The store serves them at once, and a weak link still transfers the values
# within the timeout of a call.
MAX_PARALLEL = 4


async def run_parallel(functions, *, limit=MAX_PARALLEL):
    """Run coroutine functions, a few at a time.

    :param functions: Coroutine functions without arguments.
    :param limit: How many run at the same time.
    :returns: Their results, in order.
    :raises Exception: The first exception of one; those that have not started
        yet are not run.
    """
    results = [None] * len(functions)
    failures = []
    waiting = list(enumerate(functions))
    waiting.reverse()

    async def work():
        while waiting and not failures:
            index, function = waiting.pop()
            try:
                results[index] = await function()
            except Exception as exc:
                failures.append(exc)

    async with trio.open_nursery() as nursery:
        for _ in range(min(limit, len(functions))):
            nursery.start_soon(work)
    if failures:
        raise failures[0]
    return results
