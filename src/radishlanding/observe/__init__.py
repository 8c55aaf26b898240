"""Logging and metrics of a process."""

from radishlanding.observe.bounded_handler import BoundedHandler
from radishlanding.observe.counters import Counters
from radishlanding.observe.event_log import EventLog
from radishlanding.observe.export import start_export
from radishlanding.observe.histogram import Histogram
from radishlanding.observe.load_monitor import LoadMonitor
from radishlanding.observe.setup import set_up_logging

__all__ = [
    "BoundedHandler",
    "Counters",
    "EventLog",
    "Histogram",
    "LoadMonitor",
    "set_up_logging",
    "start_export",
]
