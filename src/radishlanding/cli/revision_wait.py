"""Wait for a configuration revision to be in force everywhere."""

import time

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus

POLL_INTERVAL_S = 0.2


def wait_for_revision(client, revision, *, timeout_s):
    """Wait until every live process has a revision, or a later one, in force.

    :param client: An :class:`EntryClient`.
    :param revision: Number of the revision.
    :param timeout_s: How long to wait at most, in seconds.
    :returns: How long it took, in seconds.
    :raises CommandFailed: Some processes still have an earlier revision.
    """
    started_s = time.monotonic()
    while True:
        processes = client.call("GET", "/v1/status")["processes"]
        outdated = [item for item in processes if item["revision"] < revision]
        took_s = time.monotonic() - started_s
        if not outdated:
            return took_s
        if took_s > timeout_s:
            raise CommandFailed(
                *(
                    f"{item['kind']} {item['process_id']} has revision "
                    f"{item['revision']}"
                    for item in outdated
                ),
                status=ExitStatus.TIMED_OUT,
            )
        time.sleep(POLL_INTERVAL_S)
