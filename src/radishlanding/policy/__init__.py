"""Placement, routing and pacing decisions, independent of any encoding."""

from radishlanding.policy.earliest_deadline import EarliestDeadline
from radishlanding.policy.fair_queue import FairQueue
from radishlanding.policy.image_profile import ImageProfile
from radishlanding.policy.interference import headroom_of
from radishlanding.policy.interference import Interference
from radishlanding.policy.interference import PRIOR_WEIGHT
from radishlanding.policy.least_outstanding import LeastOutstanding
from radishlanding.policy.migration import Migration
from radishlanding.policy.outage_backoff import OutageBackoff
from radishlanding.policy.pace_controller import FULL_PERCENT
from radishlanding.policy.pace_controller import PaceController
from radishlanding.policy.placement import Placement
from radishlanding.policy.power_of_two import PowerOfTwo
from radishlanding.policy.preemption import Preemption
from radishlanding.policy.progress_monitor import ProgressMonitor
from radishlanding.policy.quarantine import Quarantine
from radishlanding.policy.random_placement import RandomPlacement
from radishlanding.policy.random_routing import RandomRouting
from radishlanding.policy.retry_budget import RetryBudget
from radishlanding.policy.round_robin import RoundRobin
from radishlanding.policy.routing import Routing
from radishlanding.policy.spread_placement import SpreadPlacement
from radishlanding.policy.standby import choose_standby
from radishlanding.policy.straggler_mitigation import StragglerMitigation
from radishlanding.policy.strongest_first import StrongestFirst
from radishlanding.policy.target_view import TargetView
from radishlanding.policy.ticket_cache import TicketCache
from radishlanding.policy.vm_load import VmLoad
from radishlanding.policy.vm_selector import MIN_IDLE_SHARE
from radishlanding.policy.vm_view import VmView
from radishlanding.policy.workflow_order import WorkflowOrder
from radishlanding.policy.workflow_planner import WorkflowPlanner

__all__ = [
    "EarliestDeadline",
    "FULL_PERCENT",
    "FairQueue",
    "ImageProfile",
    "Interference",
    "LeastOutstanding",
    "MIN_IDLE_SHARE",
    "Migration",
    "OutageBackoff",
    "PRIOR_WEIGHT",
    "PaceController",
    "Placement",
    "PowerOfTwo",
    "Preemption",
    "ProgressMonitor",
    "Quarantine",
    "RandomPlacement",
    "RandomRouting",
    "RetryBudget",
    "RoundRobin",
    "Routing",
    "SpreadPlacement",
    "StragglerMitigation",
    "StrongestFirst",
    "TargetView",
    "TicketCache",
    "VmLoad",
    "VmView",
    "WorkflowOrder",
    "WorkflowPlanner",
    "choose_standby",
    "headroom_of",
]
