"""Steps that leave odd entries and pings of another writer."""

import json

import trio
from behave import then
from behave import when

from radishlanding.dispatch import keys
from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient

MEMBER = {
    "kind": "dispatcher",
    "process_id": "odd",
    "zone": "z0",
    "address": "127.0.0.1:9",
    "strength": 1,
}
DEEP = b"[" * 200_000 + b"]" * 200_000
KEY = keys.member("odd")
PING = {
    "service": "order-desk",
    "zone": "z0",
    "state": "ready",
    "sequence": 1,
    "freeCapacity": {"cpu": 8000, "memMb": 16000, "gpu": 0},
}


def _pack(**changes):
    return json.dumps({**MEMBER, **changes}).encode()


ENTRIES = {
    "200000 nested levels": _pack()[:-1] + b', "x": ' + DEEP + b"}",
    "a strength of 10^30": _pack(strength=10**30),
    "port 99999": _pack(address="127.0.0.1:99999"),
    "port 0": _pack(address="127.0.0.1:0"),
    "a list instead": b"[1]",
    "bytes that are no text": b"\xff\xfe",
}


@when("another writer leaves an entry with {oddity} among the dispatchers")
def _leave_entry(context, oddity):
    async def leave():
        context.platform_site.store.put(KEY, ENTRIES[oddity])

    context.bridge.call(leave)


def _odd_pings(index):
    """Return the bodies of odd pings from a worker of a number."""
    address = f"127.0.0.1:{20000 + index}"
    deep = json.dumps({**PING, "address": address}).encode()
    return [
        deep[:-1] + b', "x": ' + DEEP + b"}",
        json.dumps(
            {**PING, "address": address, "remainingMs": 10**30}
        ).encode(),
        json.dumps({**PING, "address": "127.0.0.1:99999"}).encode(),
        json.dumps({**PING, "address": address}).encode(),
    ]


@when("every agent gets odd pings of {count:d} workers")
def _send_pings(context, count):
    context.bridge.call(_ping_agents, context, count)


async def _ping_agents(context, count):
    for machine in context.platform_site.machines:
        client = HttpClient(address=machine.reports_address)
        for index in range(count):
            # Deeply nested bodies are slow to send.
            skipped = 0 if index < 5 else 1
            for body in _odd_pings(index)[skipped:]:
                try:
                    await client.send(
                        "PUT",
                        f"/-/instances/i-odd-{index}",
                        body=body,
                        timeout_s=2.0,
                    )
                except ExchangeFailed as exc:
                    raise AssertionError(f"{machine.name}: {exc}") from exc
        await client.close()
    await trio.sleep(1.0)


@then("no process has ended by itself")
def _all_run(context):
    ended = [
        process.name
        for process in context.platform_site.processes()
        if not process.is_running
    ]
    assert not ended, ended


@then(
    "the agents and the dispatchers have each logged the entry at most "
    "{count:d} times"
)
def _logged(context, count):
    folder = context.platform_site.folder
    lines = {
        path.name: sum(
            f"key={KEY} " in line and "event=record_corrupt" in line
            for line in path.read_text().splitlines()
        )
        for path in folder.glob("*.log")
    }
    assert all(number <= count for number in lines.values()), lines
    assert sum(lines.values()) >= 1, lines
