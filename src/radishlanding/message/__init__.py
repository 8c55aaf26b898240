"""Messages between the processes, one type a file."""

from radishlanding.message.accepted import Accepted
from radishlanding.message.agent_hello import AgentHello
from radishlanding.message.ask_request import AskRequest
from radishlanding.message.cancel_job import CancelJob
from radishlanding.message.claim_answer import ClaimAnswer
from radishlanding.message.claim_request import ClaimRequest
from radishlanding.message.decide_task import DecideTask
from radishlanding.message.directory import Directory
from radishlanding.message.entry_hello import EntryHello
from radishlanding.message.evict_task import EvictTask
from radishlanding.message.get_status import GetStatus
from radishlanding.message.heartbeat import Heartbeat
from radishlanding.message.heartbeat_ack import HeartbeatAck
from radishlanding.message.hello_answer import HelloAnswer
from radishlanding.message.job_answer import JobAnswer
from radishlanding.message.job_summary import JobSummary
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
from radishlanding.message.start_answer import StartAnswer
from radishlanding.message.start_task import StartTask
from radishlanding.message.state_count import StateCount
from radishlanding.message.status_answer import StatusAnswer
from radishlanding.message.stop_task import StopTask
from radishlanding.message.submit_job import SubmitJob
from radishlanding.message.target_load import TargetLoad
from radishlanding.message.task_key import TaskKey
from radishlanding.message.task_status import TaskStatus
from radishlanding.message.task_summary import TaskSummary

__all__ = [
    "Accepted",
    "AgentHello",
    "AskRequest",
    "CancelJob",
    "ClaimAnswer",
    "ClaimRequest",
    "DecideTask",
    "Directory",
    "EntryHello",
    "EvictTask",
    "GetStatus",
    "Heartbeat",
    "HeartbeatAck",
    "HelloAnswer",
    "JobAnswer",
    "JobSummary",
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
    "StartAnswer",
    "StartTask",
    "StateCount",
    "StatusAnswer",
    "StopTask",
    "SubmitJob",
    "TargetLoad",
    "TaskKey",
    "TaskStatus",
    "TaskSummary",
]
