"""Client of the platform's runner, which runs the tasks of one VM.

Specified by the platform's page "What radishlanding speaks", section on
running tasks. A run of the platform is an attempt of this project.
"""

import functools
import json

import trio

from radishlanding.connection_refused import is_refused
from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import RequestWithdrawn
from radishlanding.observe import EventLog
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import read_int
from radishlanding.platform.runner_list_connection import MAX_ANSWER_BYTES
from radishlanding.platform.runner_list_connection import RunnerListConnection
from radishlanding.vm import boot_clock_s
from radishlanding.worker import BootCheck
from radishlanding.worker import CallSlots
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerUnavailable

# The runner is on the same VM, but a stop takes time, and a slow runner
# answers late.
CALL_TIMEOUT_S = 1.0
# Each call in flight needs a connection, of which a runner accepts 64, and
# each new connection costs the runner time. Listings have one of their own.
START_SLOTS = 3
MAX_STARTS = 20
# Stops are urgent: what they stop takes room or should not run any more.
STOP_SLOTS = 6
MAX_STOPS = 24
PACE_SLOTS = 2
MAX_PACES = 8
# A runner that answers does so within milliseconds.
SLOT_HOLD_S = 0.2
# A call that waits longer for its turn is logged.
LOGGED_WAIT_S = 0.1

_RESULT_BY_REASON = {
    "fence": StartResult.FENCED,
    "old": StartResult.OLD,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.NO_TICKET,
}

_log = EventLog("radishlanding.platform")


class Runner:
    """Implement :class:`radishlanding.worker.LeasedWorker` over HTTP.

    Every call raises :class:`radishlanding.worker.WorkerUnavailable` if the
    runner gives no usable answer.
    """

    __slots__ = (
        "_address",
        "_client",
        "_headers",
        "_list_conn",
        "_pace_slots",
        "_start_slots",
        "_stop_slots",
    )

    def __init__(self, *, address, worker_id):
        """Create a client without connecting.

        :param address: ``ip:port`` of the runner.
        :param worker_id: Identity of the runner; another one at this address
            refuses the calls.
        """
        self._address = address
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._list_conn = self.open_list_connection()
        self._headers = (
            ("content-type", "application/json"),
            ("x-expect-instance", worker_id),
        )
        # No kind of call waits for those of another kind.
        self._start_slots = CallSlots(
            slots=START_SLOTS, max_calls=MAX_STARTS, hold_s=SLOT_HOLD_S
        )
        self._stop_slots = CallSlots(
            slots=STOP_SLOTS, max_calls=MAX_STOPS, hold_s=SLOT_HOLD_S
        )
        self._pace_slots = CallSlots(
            slots=PACE_SLOTS, max_calls=MAX_PACES, hold_s=SLOT_HOLD_S
        )

    async def _call(self, path, value, slots, *, is_repeat=False):
        """Call the runner once a slot is free.

        :raises RequestWithdrawn: It is a repeat, and no slot is free.
        """
        queued_s = boot_clock_s()
        if is_repeat:
            call = slots.acquire_for_repeat()
        else:
            call = await slots.acquire()
        if call is None:
            raise RequestWithdrawn
        try:
            waited_s = boot_clock_s() - queued_s
            if waited_s > LOGGED_WAIT_S:
                _log.info(
                    "call_delayed",
                    call=path,
                    task=value["task"],
                    attempt=value["run"],
                    worker=self._address,
                    waited_ms=int(waited_s * 1000),
                )
            return await self._send(
                self._client, path, value, timeout_s=CALL_TIMEOUT_S
            )
        finally:
            slots.release(call)

    async def _call_permitted(self, path, make_value, permit):
        """Call the runner if the permit still holds when the call is sent.

        :param make_value: Callable that takes the
            :class:`radishlanding.worker.StartTerms`, and returns the body.
        :raises RequestWithdrawn: The permit did not hold.
        """

        def make_body():
            terms = permit.take()
            return None if terms is None else _encode(make_value(terms))

        call = None
        if permit.is_repeat:
            call = self._start_slots.acquire_for_repeat()
        else:
            with trio.move_on_after(max(0.0, permit.wait_s())):
                call = await self._start_slots.acquire()
        if call is None:
            raise RequestWithdrawn
        try:
            if not permit.is_valid():
                raise RequestWithdrawn
            return await self._exchange(
                self._client,
                path,
                make_body=make_body,
                timeout_s=CALL_TIMEOUT_S,
            )
        finally:
            self._start_slots.release(call)

    async def _send(self, client, path, value, *, timeout_s):
        return await self._exchange(
            client, path, body=_encode(value), timeout_s=timeout_s
        )

    async def _exchange(self, client, path, *, timeout_s, **body):
        try:
            response = await client.send(
                "POST",
                f"/-/{path}",
                **body,
                headers=self._headers,
                timeout_s=timeout_s,
            )
            answer = response.json()
        except (ExchangeFailed, ValueError) as exc:
            raise WorkerUnavailable(
                f"{path}: {exc}",
                was_refused=is_refused(exc),
                was_sent=getattr(exc, "was_sent", True),
            ) from exc
        return response.status, answer

    async def check_boot(self, *, fence, born_ms):
        """Ask the runner at the address whether it is a certain boot.

        The call has a connection of its own, which the boot accepts that is
        there now. It settles no end and sets no deadline.

        :param fence: Highest known fencing token of the runner, 0 for none.
        :param born_ms: Unix time of the boot's start, in milliseconds.
        :returns: A :class:`radishlanding.worker.BootCheck`.
        """
        client = HttpClient(
            address=self._address, max_body_bytes=MAX_ANSWER_BYTES
        )
        try:
            status, answer = await self._send(
                client,
                "hold",
                {"fencingToken": fence, "ackedUpto": 0},
                timeout_s=CALL_TIMEOUT_S,
            )
        finally:
            await client.close()
        if status == 421:
            return BootCheck.OTHER
        if status not in (200, 409):
            raise WorkerUnavailable(f"hold: status {status}")
        try:
            found_ms = read_int(answer, "born", default=0, maximum=MAX_NUMBER)
        except ValueError as exc:
            raise WorkerUnavailable(f"hold: {exc}") from exc
        if not found_ms:
            return BootCheck.UNDATED
        return BootCheck.CONFIRMED if found_ms == born_ms else BootCheck.OTHER

    async def start(self, order, *, permit):
        """Start an attempt.

        :param order: A :class:`radishlanding.message.TaskOrder`.
        :param permit: A :class:`radishlanding.worker.StartPermit`. It is asked
            once a connection is open, right before the call is sent.
        :returns: A pair of :class:`radishlanding.worker.StartResult` and the
            runner's clock in milliseconds, 0 if the call was not sent.
        """
        try:
            status, answer = await self._call_permitted(
                "run-start", functools.partial(_start_value, order), permit
            )
        except RequestWithdrawn:
            return StartResult.NOT_SENT, 0
        try:
            clock_ms = read_int(
                answer, "clockMs", default=0, maximum=MAX_NUMBER
            )
        except ValueError as exc:
            raise WorkerUnavailable(f"run-start: {exc}") from exc
        if status == 200:
            return StartResult.STARTED, clock_ms
        if status == 409:
            reason = str(answer.get("reason", ""))
            return _RESULT_BY_REASON.get(reason, StartResult.INVALID), clock_ms
        if status == 421:
            return StartResult.OTHER_BOOT, clock_ms
        if status in (429, 503):
            return StartResult.UNHEALTHY, clock_ms
        if status == 400:
            return StartResult.INVALID, clock_ms
        raise WorkerUnavailable(f"run-start: status {status}")

    async def stop(self, task_id, attempt, *, fence, is_repeat=False):
        """Stop an attempt, or prevent one that has not arrived from starting.

        :param is_repeat: Whether another try of the stop is in flight.
        :returns: Whether the runner has accepted the call, None if it was not
            sent.
        """
        try:
            status, _ = await self._call(
                "run-stop",
                {"task": task_id, "run": attempt, "fencingToken": fence},
                self._stop_slots,
                is_repeat=is_repeat,
            )
        except RequestWithdrawn:
            return None
        if status >= 500 or status == 429:
            raise WorkerUnavailable(f"run-stop: status {status}")
        return status == 200

    async def list_attempts(self, **options):
        """List attempts over the connection that is kept for this.

        :param options: See :meth:`RunnerListConnection.list_attempts`.
        """
        return await self._list_conn.list_attempts(**options)

    def open_list_connection(self):
        """Return a further connection for lists, which opens when used."""
        return RunnerListConnection(address=self._address, send=self._send)

    async def keep_list_connection(self, conn):
        """Use a connection for lists from now on, and close the last one.

        :param conn: One of :meth:`open_list_connection`.
        """
        closed, self._list_conn = self._list_conn, conn
        await closed.close()

    async def pace(self, task_id, attempt, *, percent, fence):
        """Throttle an attempt.

        :param percent: Share of its full speed.
        :returns: Whether the runner has accepted the call.
        """
        status, _ = await self._call(
            "pace",
            {
                "task": task_id,
                "run": attempt,
                "percent": percent,
                "fencingToken": fence,
            },
            self._pace_slots,
        )
        return status == 200

    async def close(self):
        """Close the connections."""
        await self._client.close()
        await self._list_conn.close()


def _encode(value):
    return json.dumps(value).encode()


def _start_value(order, terms):
    """Return the body of a start.

    :param order: A :class:`radishlanding.message.TaskOrder`.
    :param terms: The :class:`radishlanding.worker.StartTerms`.
    """
    value = {
        "task": order.task_id,
        "run": order.attempt,
        "spec": order.spec,
        "deadlineMs": terms.deadline_ms,
        "fencingToken": terms.fence,
    }
    if order.checkpoint:
        value["checkpoint"] = order.checkpoint
    if order.ticket:
        value["ticket"] = order.ticket
    return value
