"""Leads a site: records its workflows, places and supervises their tasks."""

from radishlanding.dispatch.candidate import Candidate
from radishlanding.dispatch.entry_log import EntryLog
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.leader import Leader
from radishlanding.dispatch.site_watch import SiteWatch
from radishlanding.dispatch.succession import Succession
from radishlanding.dispatch.vm_session import VmSession

__all__ = [
    "Candidate",
    "EntryLog",
    "Fleet",
    "Leader",
    "SiteWatch",
    "Succession",
    "VmSession",
]
