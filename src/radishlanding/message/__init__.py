"""Messages between the processes, one type a file."""

from radishlanding.message.accepted import Accepted
from radishlanding.message.agent_hello import AgentHello
from radishlanding.message.ask_request import AskRequest
from radishlanding.message.backlog_answer import BacklogAnswer
from radishlanding.message.cancel_job import CancelJob
from radishlanding.message.cancel_workflow import CancelWorkflow
from radishlanding.message.claim_answer import ClaimAnswer
from radishlanding.message.claim_request import ClaimRequest
from radishlanding.message.decide_task import DecideTask
from radishlanding.message.directory import Directory
from radishlanding.message.ends_recorded import EndsRecorded
from radishlanding.message.entry_hello import EntryHello
from radishlanding.message.evict_task import EvictTask
from radishlanding.message.get_backlog import GetBacklog
from radishlanding.message.get_status import GetStatus
from radishlanding.message.get_workflow import GetWorkflow
from radishlanding.message.heartbeat import Heartbeat
from radishlanding.message.heartbeat_ack import HeartbeatAck
from radishlanding.message.hello_answer import HelloAnswer
from radishlanding.message.image_weight import ImageWeight
from radishlanding.message.job_answer import JobAnswer
from radishlanding.message.job_summary import JobSummary
from radishlanding.message.leader_away import LeaderAway
from radishlanding.message.leader_notice import LeaderNotice
from radishlanding.message.list_jobs import ListJobs
from radishlanding.message.load_report import LoadReport
from radishlanding.message.owned_shard import OwnedShard
from radishlanding.message.owner_report import OwnerReport
from radishlanding.message.ping import Ping
from radishlanding.message.pong import Pong
from radishlanding.message.process_summary import ProcessSummary
from radishlanding.message.refused import Refused
from radishlanding.message.relay_ask import RelayAsk
from radishlanding.message.run_answer import RunAnswer
from radishlanding.message.run_request import RunRequest
from radishlanding.message.running_task import RunningTask
from radishlanding.message.start_answer import StartAnswer
from radishlanding.message.start_orders import StartOrders
from radishlanding.message.start_orders_answer import StartOrdersAnswer
from radishlanding.message.start_task import StartTask
from radishlanding.message.state_count import StateCount
from radishlanding.message.status_answer import StatusAnswer
from radishlanding.message.stop_orders import StopOrders
from radishlanding.message.stop_task import StopTask
from radishlanding.message.submit_job import SubmitJob
from radishlanding.message.submit_workflow import SubmitWorkflow
from radishlanding.message.target_load import TargetLoad
from radishlanding.message.task_end_report import TaskEndReport
from radishlanding.message.task_key import TaskKey
from radishlanding.message.task_order import TaskOrder
from radishlanding.message.task_status import TaskStatus
from radishlanding.message.task_summary import TaskSummary
from radishlanding.message.vm_hello import VmHello
from radishlanding.message.vm_report import VmReport
from radishlanding.message.vm_report_ack import VmReportAck
from radishlanding.message.vm_state import VmState
from radishlanding.message.vm_welcome import VmWelcome
from radishlanding.message.workflow_answer import WorkflowAnswer

__all__ = [
    "Accepted",
    "AgentHello",
    "AskRequest",
    "BacklogAnswer",
    "CancelJob",
    "CancelWorkflow",
    "ClaimAnswer",
    "ClaimRequest",
    "DecideTask",
    "Directory",
    "EndsRecorded",
    "EntryHello",
    "EvictTask",
    "GetBacklog",
    "GetStatus",
    "GetWorkflow",
    "Heartbeat",
    "HeartbeatAck",
    "HelloAnswer",
    "ImageWeight",
    "JobAnswer",
    "JobSummary",
    "LeaderAway",
    "LeaderNotice",
    "ListJobs",
    "LoadReport",
    "OwnedShard",
    "OwnerReport",
    "Ping",
    "Pong",
    "ProcessSummary",
    "Refused",
    "RelayAsk",
    "RunAnswer",
    "RunRequest",
    "RunningTask",
    "StartAnswer",
    "StartOrders",
    "StartOrdersAnswer",
    "StartTask",
    "StateCount",
    "StatusAnswer",
    "StopOrders",
    "StopTask",
    "SubmitJob",
    "SubmitWorkflow",
    "TargetLoad",
    "TaskEndReport",
    "TaskKey",
    "TaskOrder",
    "TaskStatus",
    "TaskSummary",
    "VmHello",
    "VmReport",
    "VmReportAck",
    "VmState",
    "VmWelcome",
    "WorkflowAnswer",
]
