"""Settings of a process, loaded from a TOML file."""

from radishlanding.settings.agent import AgentSettings
from radishlanding.settings.dispatcher import DispatcherSettings
from radishlanding.settings.entry import EntrySettings
from radishlanding.settings.load import check_settings
from radishlanding.settings.load import load_settings
from radishlanding.settings.load import SETTINGS_BY_PROGRAM
from radishlanding.settings.operator import OperatorSettings
from radishlanding.settings.run_program import run_program
from radishlanding.settings.scheduler import SchedulerSettings
from radishlanding.settings.vm_agent import VmAgentSettings

__all__ = [
    "SETTINGS_BY_PROGRAM",
    "AgentSettings",
    "DispatcherSettings",
    "EntrySettings",
    "OperatorSettings",
    "SchedulerSettings",
    "VmAgentSettings",
    "check_settings",
    "load_settings",
    "run_program",
]
