"""Client of the platform's advisor.

Specified by the platform's page "What radishlanding speaks", section on
running tasks.
"""

import json

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.platform.fields import check_text
from radishlanding.platform.fields import read_list
from radishlanding.worker import AdvisorUnavailable

HEADERS = (("content-type", "application/json"),)


class PlatformAdvisor:
    """Implement :class:`radishlanding.worker.Advisor` over HTTP."""

    __slots__ = ("_client",)

    def __init__(self, *, address):
        """Create a client without connecting.

        :param address: ``ip:port`` of the advisor.
        """
        self._client = HttpClient(address=address)

    async def advise(self, step, worker_ids, *, timeout_s):
        """Return the tickets of the workers that may run a step.

        :param step: Name of the step, as ``workflow.occurrence.step``.
        :param worker_ids: Identities of workers, 100 at most.
        :param timeout_s: How long to wait for the answer, in seconds.
        :returns: Ticket by worker identity.
        :raises AdvisorUnavailable: There was no usable answer.
        """
        body = json.dumps({"step": step, "workers": worker_ids}).encode()
        try:
            response = await self._client.send(
                "POST",
                "/-/advise",
                body=body,
                headers=HEADERS,
                timeout_s=timeout_s,
            )
            answer = response.json()
        except (ExchangeFailed, ValueError) as exc:
            raise AdvisorUnavailable(f"{step}: {exc}") from exc
        if response.status != 200:
            raise AdvisorUnavailable(f"{step}: status {response.status}")
        try:
            return _decode_tickets(answer, frozenset(worker_ids))
        except (TypeError, ValueError) as exc:
            raise AdvisorUnavailable(f"{step}: {exc}") from exc


def _decode_tickets(answer, asked):
    """Return the tickets by worker identity.

    :param answer: The advisor's answer, a JSON object.
    :param asked: Identities of the workers that the question named; tickets
        of others are dropped, as they would be kept until they expire.
    """
    if "good" not in answer:
        raise ValueError("good is missing")
    tickets = {}
    for row in read_list(answer, "good"):
        worker_id, ticket, *_ = row
        check_text(worker_id, "worker")
        check_text(ticket, "ticket")
        if worker_id in asked:
            tickets[worker_id] = ticket
    return tickets
