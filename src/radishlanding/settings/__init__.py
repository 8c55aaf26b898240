"""Settings of a process, loaded from a TOML file."""

from radishlanding.lazy import lazy_exports

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

__getattr__ = lazy_exports(
    __name__,
    {
        "AgentSettings": "agent",
        "DispatcherSettings": "dispatcher",
        "EntrySettings": "entry",
        "OperatorSettings": "operator",
        "SETTINGS_BY_PROGRAM": "load",
        "SchedulerSettings": "scheduler",
        "VmAgentSettings": "vm_agent",
        "check_settings": "load",
        "load_settings": "load",
        "run_program": "run_program",
    },
)
