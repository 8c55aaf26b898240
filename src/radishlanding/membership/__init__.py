"""Which processes of the site are alive and where."""

from radishlanding.membership.member import Member
from radishlanding.membership.members import Members
from radishlanding.membership.presence import Presence
from radishlanding.membership.registration import Registration

__all__ = ["Member", "Members", "Presence", "Registration"]
