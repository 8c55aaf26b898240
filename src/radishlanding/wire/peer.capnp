@0xd2f1a7c3b5e49081;
# Messages between the processes, as radishlanding.message defines them.

struct Envelope {
  id @0 :UInt64;
  # Identity of the call on its connection, 0 for a notice.
  isReply @1 :Bool;
  body :union {
    ping @2 :Ping;
    pong @3 :Pong;
    accepted @4 :Accepted;
    refused @5 :Refused;
    agentHello @6 :AgentHello;
    helloAnswer @7 :HelloAnswer;
    heartbeat @8 :Heartbeat;
    heartbeatAck @9 :HeartbeatAck;
    directory @10 :Directory;
    startTask @11 :StartTask;
    startAnswer @12 :StartAnswer;
    evictTask @13 :EvictTask;
    stopTask @14 :StopTask;
    loadReport @15 :LoadReport;
    runRequest @16 :RunRequest;
    askRequest @17 :AskRequest;
    runAnswer @18 :RunAnswer;
    entryHello @19 :EntryHello;
    ownerReport @20 :OwnerReport;
    submitJob @21 :SubmitJob;
    jobAnswer @22 :JobAnswer;
    listJobs @23 :ListJobs;
    cancelJob @24 :CancelJob;
    decideTask @25 :DecideTask;
    claimRequest @26 :ClaimRequest;
    claimAnswer @27 :ClaimAnswer;
    relayAsk @28 :RelayAsk;
    getStatus @29 :GetStatus;
    statusAnswer @30 :StatusAnswer;
  }
}

struct Capacity {
  millicores @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

struct TaskStatus {
  taskId @0 :Text;
  epoch @1 :Int64;
  phase @2 :Text;
  checkpoint @3 :Text;
  reason @4 :Text;
}

struct TaskKey {
  taskId @0 :Text;
  epoch @1 :Int64;
}

struct TargetLoad {
  service @0 :Text;
  slots @1 :Int64;
  outstanding @2 :Int64;
  leaving @3 :Bool;
  latencyMs @4 :Float64;
}

struct OwnedShard {
  shard @0 :Int64;
  ownerEpoch @1 :Int64;
}

struct JobSummary {
  jobId @0 :Text;
  organisation @1 :Text;
  template @2 :Text;
  states @3 :List(StateCount);
  tasks @4 :List(TaskSummary);
}

struct StateCount {
  state @0 :Text;
  count @1 :Int64;
}

struct TaskSummary {
  taskId @0 :Text;
  state @1 :Text;
  epoch @2 :Int64;
  vm @3 :Text;
  checkpoint @4 :Text;
  reason @5 :Text;
}

struct ProcessSummary {
  kind @0 :Text;
  processId @1 :Text;
  zone @2 :Text;
  revision @3 :Int64;
  detail @4 :Text;
}

struct Ping {
}

struct Pong {
}

struct Accepted {
}

struct Refused {
  reason @0 :Text;
}

struct AgentHello {
  vm @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  rack @3 :Text;
  capacity @4 :Capacity;
  clockMs @5 :Int64;
  revision @6 :Int64;
  ownerEpoch @7 :Int64;
}

struct HelloAnswer {
  accepted @0 :Bool;
  reason @1 :Text;
  ownerEpoch @2 :Int64;
  address @3 :Text;
}

struct Heartbeat {
  clockMs @0 :Int64;
  revision @1 :Int64;
  reserved @2 :Capacity;
  tasks @3 :List(TaskStatus);
}

struct HeartbeatAck {
  ownerEpoch @0 :Int64;
  confirmed @1 :Bool;
  granted @2 :Bool;
  settled @3 :List(TaskKey);
  unwanted @4 :List(TaskKey);
}

struct Directory {
  revision @0 :Int64;
  zonesOut @1 :List(Text);
  entries @2 :List(Text);
  schedulers @3 :List(Text);
}

struct StartTask {
  taskId @0 :Text;
  epoch @1 :Int64;
  ownerEpoch @2 :Int64;
  incarnation @3 :Text;
  clockEchoMs @4 :Int64;
  revision @5 :Int64;
  needs @6 :Capacity;
  checkpoint @7 :Text;
  organisation @8 :Text;
  template @9 :Text;
  parameters @10 :Text;
  checkpointEveryS @11 :Float64;
}

struct StartAnswer {
  accepted @0 :Bool;
  reason @1 :Text;
  free @2 :Capacity;
}

struct EvictTask {
  taskId @0 :Text;
  epoch @1 :Int64;
  ownerEpoch @2 :Int64;
}

struct StopTask {
  taskId @0 :Text;
  epoch @1 :Int64;
  ownerEpoch @2 :Int64;
}

struct LoadReport {
  vm @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  clockMs @3 :Int64;
  revision @4 :Int64;
  targets @5 :List(TargetLoad);
}

struct RunRequest {
  key @0 :Text;
  attempt @1 :Int64;
  service @2 :Text;
  idempotent @3 :Bool;
  incarnation @4 :Text;
  clockEchoMs @5 :Int64;
  revision @6 :Int64;
  timeoutMs @7 :Int64;
  body @8 :Data;
}

struct AskRequest {
  key @0 :Text;
  attempt @1 :Int64;
  incarnation @2 :Text;
  claimedClockMs @3 :Int64;
  timeoutMs @4 :Int64;
}

struct RunAnswer {
  key @0 :Text;
  attempt @1 :Int64;
  outcome @2 :Text;
  reason @3 :Text;
  status @4 :Int64;
  body @5 :Data;
}

struct EntryHello {
  entryId @0 :Text;
  zone @1 :Text;
  revision @2 :Int64;
}

struct OwnerReport {
  owners @0 :List(OwnedShard);
}

struct SubmitJob {
  jobId @0 :Text;
  organisation @1 :Text;
  template @2 :Text;
  tasks @3 :Int64;
  parameters @4 :Text;
}

struct JobAnswer {
  outcome @0 :Text;
  reason @1 :Text;
  jobs @2 :List(JobSummary);
}

struct ListJobs {
  jobId @0 :Text;
}

struct CancelJob {
  jobId @0 :Text;
}

struct DecideTask {
  taskId @0 :Text;
  again @1 :Bool;
}

struct ClaimRequest {
  key @0 :Text;
  holder @1 :Text;
  forbidden @2 :Int64;
  vm @3 :Text;
  incarnation @4 :Text;
  clockMs @5 :Int64;
  digest @6 :Text;
}

struct ClaimAnswer {
  holder @0 :Text;
  attempt @1 :Int64;
  vm @2 :Text;
  incarnation @3 :Text;
  clockMs @4 :Int64;
  digest @5 :Text;
  reason @6 :Text;
}

struct RelayAsk {
  vm @0 :Text;
  ask @1 :AskRequest;
}

struct GetStatus {
}

struct StatusAnswer {
  processes @0 :List(ProcessSummary);
}
