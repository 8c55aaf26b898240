"""Report on the queues of the leader."""

import functools

import trio

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table
from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient

TIMEOUT_S = 3.0
PATH = "/queues"
COLUMNS = (
    "queue",
    "priority",
    "waiting",
    "running",
    "backlog_core_s",
    "drained_cores",
    "wait_s",
    "overloaded",
    "submitted",
    "refused",
)


class QueueReport:
    """Ask dispatchers for the page of the one that leads."""

    __slots__ = ("_addresses",)

    def __init__(self, *, addresses):
        """Create the report.

        :param addresses: ``ip:port`` of the dispatchers' metrics pages.
        """
        self._addresses = addresses

    def show(self, *, as_json):
        """Print the queues, and the counters that are not 0.

        :param as_json: Whether to print JSON.
        :raises CommandFailed: No dispatcher that answers leads.
        """
        answer = trio.run(self._leader_answer)
        if as_json:
            print_json(answer)
            return
        print_table(
            COLUMNS,
            [
                [_cell(item.get(name)) for name in COLUMNS]
                for item in answer["queues"]
            ],
        )
        for name, count in answer.get("counters", {}).items():
            print(f"{name}={count:g}")

    async def _leader_answer(self):
        """Return the answer of the newest leader."""
        answers, reasons = [], []
        async with trio.open_nursery() as nursery:
            for address in self._addresses:
                nursery.start_soon(
                    functools.partial(
                        self._ask, address, answers=answers, reasons=reasons
                    )
                )
        if not answers:
            raise CommandFailed(
                *sorted(reasons), status=ExitStatus.UNREACHABLE
            )
        return max(answers, key=lambda answer: answer["epoch"])

    async def _ask(self, address, *, answers, reasons):
        try:
            client = HttpClient(address=address)
        except ValueError:
            reasons.append(f"{address}: not ip:port")
            return
        try:
            response = await client.send("GET", PATH, timeout_s=TIMEOUT_S)
            if response.status != 200:
                reasons.append(f"{address}: does not lead")
                return
            answers.append(response.json())
        except ExchangeFailed as exc:
            reasons.append(f"{address}: {exc.reason}")
        except ValueError:
            # Earlier versions have the metrics on every path.
            reasons.append(f"{address}: has no page {PATH}")
        finally:
            await client.close()


def _cell(value):
    return "-" if value is None else value
