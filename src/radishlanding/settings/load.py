"""Loads and validates the settings of a process."""

import dataclasses

from radishlanding.findings import Collector
from radishlanding.findings import find_address_problem
from radishlanding.findings import read_toml
from radishlanding.findings import structure
from radishlanding.settings.agent import AgentSettings
from radishlanding.settings.dispatcher import DispatcherSettings
from radishlanding.settings.entry import EntrySettings
from radishlanding.settings.operator import OperatorSettings
from radishlanding.settings.scheduler import SchedulerSettings
from radishlanding.settings.vm_agent import VmAgentSettings

LOG_LEVELS = ("debug", "info", "warning", "error")
SETTINGS_BY_PROGRAM = {
    "agent": AgentSettings,
    "dispatcher": DispatcherSettings,
    "entry": EntrySettings,
    "operator": OperatorSettings,
    "scheduler": SchedulerSettings,
    "vmagent": VmAgentSettings,
}
_ADDRESS_KEYS = (
    "announce_listen",
    "entries",
    "http_listen",
    "metrics_listen",
    "peer_advertise",
    "peer_listen",
    "ready_listen",
    "report_listen",
    "schedulers",
    "seeds",
    "store",
    "worker",
)
_OPTIONAL_KEYS = ("metrics_listen", "peer_advertise", "seeds")
_LISTEN_KEYS = (
    "announce_listen",
    "http_listen",
    "metrics_listen",
    "peer_listen",
    "ready_listen",
    "report_listen",
)


def _check_addresses(name, value, collector):
    if name in _OPTIONAL_KEYS and not value:
        return
    values = value if isinstance(value, list) else [value]
    if not values:
        collector.add(key=name, problem="must name at least one address")
    for text in values:
        problem = find_address_problem(
            text, is_zero_allowed=name in _LISTEN_KEYS
        )
        if problem:
            collector.add(key=name, problem=problem)


def check_settings(cfg, *, source):
    """Check the values of settings.

    :param cfg: Settings object of any program.
    :param source: Name of the input for the findings.
    :raises InvalidInput: Values are invalid; holds all findings.
    """
    collector = Collector(source=source)
    for field in dataclasses.fields(cfg):
        name, value = field.name, getattr(cfg, field.name)
        if name in _ADDRESS_KEYS:
            _check_addresses(name, value, collector)
        elif name in ("id", "zone", "rack", "vm") and not value:
            collector.add(key=name, problem="must not be empty")
        elif name == "log_level" and value not in LOG_LEVELS:
            levels = ", ".join(LOG_LEVELS)
            collector.add(key=name, problem=f"must be one of {levels}")
        elif isinstance(value, bool):
            continue
        elif isinstance(value, int | float) and value <= 0:
            collector.add(key=name, problem="must be positive")
    collector.raise_if_any()


def load_settings(program, path):
    """Return the settings of a program from a TOML file.

    :param program: A key of ``SETTINGS_BY_PROGRAM``.
    :param path: Path of the file.
    :raises InvalidInput: The program is unknown, or the file is invalid;
        holds all findings.
    """
    if program not in SETTINGS_BY_PROGRAM:
        collector = Collector(source=str(path))
        known = ", ".join(SETTINGS_BY_PROGRAM)
        collector.add(key="", problem=f"{program} is not one of {known}")
        collector.raise_if_any()
    cfg = structure(
        SETTINGS_BY_PROGRAM[program], read_toml(path), source=str(path)
    )
    check_settings(cfg, source=str(path))
    return cfg
