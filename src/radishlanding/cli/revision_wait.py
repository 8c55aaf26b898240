"""Waits until a configuration is in force everywhere."""

import time

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus

POLL_PAUSE_S = 0.2


def wait_for_revision(client, revision, *, timeout_s):
    """Wait until each live process has a revision in force.

    :param client: An :class:`EntryClient`.
    :param revision: The revision.
    :param timeout_s: Bound, in seconds.
    :returns: Seconds that it took.
    :raises CommandFailed: Processes are behind after that time.
    """
    began_s = time.monotonic()
    while True:
        processes = client.call("GET", "/v1/status")["processes"]
        behind = [item for item in processes if item["revision"] < revision]
        took_s = time.monotonic() - began_s
        if not behind:
            return took_s
        if took_s > timeout_s:
            raise CommandFailed(
                *(
                    f"{item['kind']} {item['process_id']} has revision "
                    f"{item['revision']}"
                    for item in behind
                ),
                status=ExitStatus.TIMED_OUT,
            )
        time.sleep(POLL_PAUSE_S)
