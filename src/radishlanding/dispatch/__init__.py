"""Leads a site: records its workflows, places and supervises their tasks."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Candidate",
    "EntryLog",
    "Fleet",
    "Leader",
    "SiteWatch",
    "Succession",
    "VmSession",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Candidate": "candidate",
        "EntryLog": "entry_log",
        "Fleet": "fleet",
        "Leader": "leader",
        "SiteWatch": "site_watch",
        "Succession": "succession",
        "VmSession": "vm_session",
    },
)
