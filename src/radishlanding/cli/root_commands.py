"""Root of the command tree."""

import os

from radishlanding.cli.config_commands import ConfigCommands
from radishlanding.cli.entry_client import EntryClient
from radishlanding.cli.job_commands import JobCommands
from radishlanding.cli.queue_report import QueueReport
from radishlanding.cli.report_commands import ReportCommands
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table
from radishlanding.cli.template_commands import TemplateCommands
from radishlanding.cli.zone_commands import ZoneCommands
from radishlanding.settings import load_settings
from radishlanding.settings import OperatorSettings

SETTINGS_VARIABLE = "RADISHLANDING_SETTINGS"
DEFAULT_SETTINGS = "radishlanding.toml"
STATUS_COLUMNS = ("kind", "process_id", "zone", "revision", "detail")


class RootCommands:
    """Operate a site of radishlanding."""

    __slots__ = ("_entry", "_settings")

    def __init__(self, settings=None, entry=None):
        """Choose the entries to call.

        :param settings: Path of the operators' settings file.
        :param entry: ``ip:port`` of one entry, instead of a settings file.
        """
        self._entry = entry
        self._settings = settings

    def _client(self):
        if self._entry:
            return EntryClient(cfg=OperatorSettings(entries=[self._entry]))
        path = self._settings or os.environ.get(
            SETTINGS_VARIABLE, DEFAULT_SETTINGS
        )
        return EntryClient(cfg=load_settings("operator", path))

    def check_settings(self, program, path, json=False):
        """Check a settings file.

        PROGRAM is agent, dispatcher, entry, operator, scheduler or vmagent.
        """
        load_settings(program, path)
        if json:
            print_json({"path": str(path), "findings": []})
            return
        print(f"{path}: no findings")

    @property
    def config(self):
        """Check, show, compare and apply configuration."""
        return ConfigCommands(_LazyClient(self._client))

    @property
    def zone(self):
        """Take availability zones out of service and bring them back."""
        return ZoneCommands(_LazyClient(self._client))

    @property
    def job(self):
        """Submit, show and cancel jobs, and decide about lost tasks."""
        return JobCommands(_LazyClient(self._client))

    @property
    def template(self):
        """Show the job templates."""
        return TemplateCommands(_LazyClient(self._client))

    @property
    def report(self):
        """Report on service levels."""
        return ReportCommands(_LazyClient(self._client))

    def queues(self, metrics, json=False):
        """Show the queues of the leader: backlog, predicted wait, refusals.

        METRICS is the IP:PORT of the metrics pages of the dispatchers,
        separated by commas.
        """
        if isinstance(metrics, str):
            metrics = metrics.split(",")
        QueueReport(addresses=list(map(str, metrics))).show(as_json=json)

    def status(self, json=False):
        """Show the live processes and the revisions they have in force."""
        answer = self._client().call("GET", "/v1/status")
        if json:
            print_json(answer)
            return
        print_table(
            STATUS_COLUMNS,
            [
                [item[name] for name in STATUS_COLUMNS]
                for item in answer["processes"]
            ],
        )


class _LazyClient:
    """Proxy that creates the client when a command first uses it.

    Help and offline commands thus need no settings file.
    """

    __slots__ = ("_create",)

    def __init__(self, create):
        self._create = create

    def __getattr__(self, name):
        return getattr(self._create(), name)
