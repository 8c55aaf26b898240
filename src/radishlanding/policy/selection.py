"""Selects the workflows that can end in time together."""

import heapq


def select(items, *, room_millicores, now_ms, limit_ms, used_core_ms=0.0):
    """Return those items that can all end by their limits.

    Work is done at the rate of the room, the earliest limit first. Where an
    item would exceed its limit, those of the least value per work that are
    before it are left out (Moore and Hodgson, Management Science 1968).

    :param items: Objects with ``core_ms``, ``path_ms`` and ``density``.
    :param room_millicores: Processors, in millicores.
    :param now_ms: Unix time, in milliseconds.
    :param limit_ms: Callable that takes an item and returns its limit, as
        Unix time in milliseconds.
    :param used_core_ms: Work that is done before that of the items.
    :returns: Pair of the items that are kept and of those left out, which
        includes those that could not end in time on their own.
    """
    rate = max(room_millicores, 1.0) / 1000
    kept, dropped, heap = set(), [], []
    work_core_ms = used_core_ms
    for position, item in enumerate(sorted(items, key=limit_ms)):
        limit = limit_ms(item)
        if now_ms + item.path_ms > limit:
            dropped.append(item)
            continue
        kept.add(item)
        work_core_ms += item.core_ms
        heapq.heappush(heap, (item.density, position, item))
        while heap and now_ms + work_core_ms / rate > limit:
            _, _, least = heapq.heappop(heap)
            kept.remove(least)
            work_core_ms -= least.core_ms
            dropped.append(least)
    return kept, dropped
