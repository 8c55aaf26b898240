"""Membership of processes in a site, through leased keys in the store."""

from radishlanding.lazy import lazy_exports

__all__ = ["Member", "MemberWatch", "Registration", "SiteMembership"]

__getattr__ = lazy_exports(
    __name__,
    {
        "Member": "member",
        "MemberWatch": "member_watch",
        "SiteMembership": "site_membership",
        "Registration": "registration",
    },
)
