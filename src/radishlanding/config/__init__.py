"""The operators' configuration: templates, organisations, zones, queues."""

from radishlanding.config.advice import Advice
from radishlanding.config.check import check_document
from radishlanding.config.diff import diff_documents
from radishlanding.config.document import Document
from radishlanding.config.kind import Kind
from radishlanding.config.organisation import Organisation
from radishlanding.config.queue import Queue
from radishlanding.config.reader import make_document
from radishlanding.config.site import Site
from radishlanding.config.template import Template
from radishlanding.config.urgency import Urgency
from radishlanding.config.watch import ConfigWatch
from radishlanding.config.zone import Zone

__all__ = [
    "Advice",
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
