"""Steps for the distribution of configuration changes."""

import collections

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import ExchangeFailed
from tests.promises.faults import FAULTS
from tests.standin.plan import Plan
from tests.standin.record import now_s

CHANGES = 6
CHANGE_INTERVAL_S = 0.7
MAX_DELAY_S = 5.0
SAMPLE_INTERVAL_S = 0.1
PROCESS_SAFE_FAULTS = (
    "nothing",
    "operators race",
    "leases of the store lapse",
)


class RevisionSamples:
    """Sample the revision of each process over time."""

    __slots__ = ("by_process",)

    def __init__(self):
        """Start empty."""
        self.by_process = collections.defaultdict(list)

    async def watch(self, site, entry):
        """Sample the revisions through one entry until cancelled.

        :param entry: Index of the entry VM.
        """
        while True:
            found = await site.revisions(entry=entry)
            own_name = site.entry_vms[entry].entry.name
            for process, revision in found.items():
                # What an entry reports of other entries may be out of date.
                if process[0] != "entry" or process[1].startswith(own_name):
                    samples = self.by_process[entry, process]
                    samples.append((now_s(), revision))
            await trio.sleep(SAMPLE_INTERVAL_S)

    def find_regressions(self):
        """Return the processes whose revision decreased."""
        return [
            process
            for process, samples in self.by_process.items()
            if any(
                later[1] < earlier[1]
                for earlier, later in zip(samples, samples[1:], strict=False)
            )
        ]


@given("a site whose configuration revisions are sampled")
def _a_site(context):
    context.site = site = context.bridge.open_site(Plan())
    context.samples = RevisionSamples()
    for entry in range(2):
        context.bridge.spawn(context.samples.watch, site, entry)


async def _change_concurrently(site):
    """Make changes as a second operator, at the same time."""
    for index in range(CHANGES):
        await _change(site, "bole", index, entry=1)
        await trio.sleep(CHANGE_INTERVAL_S)


async def _roll_back_config(site):
    """Roll the stored configuration back to older content."""
    await trio.sleep(1.0)
    content = site.store.dump()
    await trio.sleep(2.0)
    site.store.restore_key("config/document", content)
    await trio.sleep(1.0)


async def _change(site, zone, index, *, entry):
    """Make a change; return its time and revision, or None if it failed."""
    direction = ("out", "in")[index % 2]
    try:
        return await site.move_zone(zone, direction, entry=entry)
    except (AssertionError, ExchangeFailed):
        return None


async def _make_changes(context, fault):
    site = context.site
    faults = {
        **FAULTS,
        "operators race": _change_concurrently,
        "store restored with older config": _roll_back_config,
    }
    context.changes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(faults[fault], site)
        for index in range(CHANGES):
            change = await _change(site, "piassa", index, entry=1)
            if change is not None:
                context.changes.append(change)
            await trio.sleep(CHANGE_INTERVAL_S)
    context.changes_ended_s = now_s()


@when("{count:d} changes are made while: {fault}")
def _changes_are_made(context, count, fault):
    assert count == CHANGES
    context.fault = fault
    context.bridge.call(_make_changes, context, fault)


@then("the revision of no process decreased")
def _never_back(context):
    context.bridge.call(trio.sleep, MAX_DELAY_S)
    assert not context.samples.find_regressions(), (
        context.samples.find_regressions()
    )


@then("each change was in force in each running process within 5 s")
def _in_force(context):
    """Check the delay of each change, unless the fault stops processes."""
    assert context.changes or context.fault.startswith("store")
    site = context.site
    newest = max((revision for _, revision in context.changes), default=1)
    found = context.bridge.call(site.revisions)
    wanted = len(list(site.processes()))
    assert len(found) == wanted, found
    assert all(revision >= newest for revision in found.values()), found
    if context.fault in PROCESS_SAFE_FAULTS:
        for accepted_s, revision in context.changes:
            _check_in_time(context.samples, accepted_s, revision)


def _check_in_time(revision_samples, accepted_s, revision):
    for process, samples in revision_samples.by_process.items():
        later = [
            sampled_s for sampled_s, found in samples if found >= revision
        ]
        assert later, (process, revision)
        took_s = later[0] - accepted_s
        assert took_s < MAX_DELAY_S, (process, revision, took_s)


@then("the store holds the newest revision")
def _store_holds(context):
    newest = max((revision for _, revision in context.changes), default=1)
    stored = context.site.store.read("config/document")["revision"]
    assert stored >= newest, (stored, newest)
