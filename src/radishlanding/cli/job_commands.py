"""Commands for jobs."""

import json as json_module

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table


def _format_counts(job):
    return " ".join(f"{row['state']}={row['count']}" for row in job["states"])


class JobCommands:
    """Submit, show and cancel jobs, and decide about lost tasks."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Create the commands.

        :param client: An :class:`EntryClient`.
        """
        self._client = client

    def submit(
        self,
        job_id,
        organisation,
        template,
        tasks=1,
        parameters="{}",
        json=False,
    ):
        """Submit a job; repeating it with the same job_id is safe."""
        if isinstance(parameters, str):
            try:
                parameters = json_module.loads(parameters)
            except ValueError as exc:
                raise CommandFailed(
                    f"parameters: no JSON: {exc}",
                    status=ExitStatus.BAD_INPUT,
                )
        answer = self._client.call(
            "POST",
            "/v1/jobs",
            {
                "job_id": str(job_id),
                "organisation": organisation,
                "template": template,
                "tasks": tasks,
                "parameters": parameters,
            },
        )
        if json:
            print_json(answer)
        else:
            print(f"job {job_id} is on record {answer['reason']}".rstrip())

    def list(self, json=False):
        """List the newest jobs of each shard."""
        jobs = self._client.call("GET", "/v1/jobs")["jobs"]
        if json:
            print_json(jobs)
            return
        print_table(
            ("job", "organisation", "template", "tasks"),
            [
                (
                    job["job_id"],
                    job["organisation"],
                    job["template"],
                    _format_counts(job),
                )
                for job in jobs
            ],
        )

    def show(self, job_id, json=False):
        """Show a job with its tasks."""
        self._print(self._client.call("GET", f"/v1/jobs/{job_id}"), json)

    def cancel(self, job_id, json=False):
        """Cancel the tasks of a job that have not ended yet."""
        self._print(self._client.call("DELETE", f"/v1/jobs/{job_id}"), json)

    def decide(self, task_id, again, json=False):
        """Requeue a lost task (--again) or abandon it (--noagain)."""
        job_id, _, index = task_id.rpartition("/")
        answer = self._client.call(
            "POST",
            f"/v1/jobs/{job_id}/tasks/{index}/decision",
            {"again": bool(again)},
        )
        self._print(answer, json)

    def _print(self, job, json):
        if json:
            print_json(job)
            return
        columns = ("task_id", "state", "epoch", "vm", "checkpoint", "reason")
        print_table(
            columns,
            [[task[name] for name in columns] for task in job["tasks"]],
        )
