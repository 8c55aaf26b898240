"""The targets on an agent's VM, which serve requests."""

from radishlanding.target.announcement import Announcement
from radishlanding.target.announcement_api import AnnouncementApi
from radishlanding.target.pool import TargetPool
from radishlanding.target.target import Target

__all__ = ["Announcement", "AnnouncementApi", "Target", "TargetPool"]
