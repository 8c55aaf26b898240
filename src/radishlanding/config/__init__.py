"""Operator configuration: templates, organisations, zones and queues."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "AdvisorTiming",
    "ConfigWatch",
    "Document",
    "Kind",
    "Organisation",
    "Queue",
    "Site",
    "Template",
    "Urgency",
    "Zone",
    "check_document",
    "diff_documents",
    "make_document",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "AdvisorTiming": "advisor_timing",
        "ConfigWatch": "watch",
        "Document": "document",
        "Kind": "kind",
        "Organisation": "organisation",
        "Queue": "queue",
        "Site": "site",
        "Template": "template",
        "Urgency": "urgency",
        "Zone": "zone",
        "check_document": "check",
        "diff_documents": "diff",
        "make_document": "reader",
    },
)
