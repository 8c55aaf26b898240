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
    startOrders @31 :StartOrders;
    startOrdersAnswer @32 :StartOrdersAnswer;
    stopOrders @33 :StopOrders;
    vmHello @34 :VmHello;
    vmWelcome @35 :VmWelcome;
    vmReport @36 :VmReport;
    vmReportAck @37 :VmReportAck;
    endsRecorded @38 :EndsRecorded;
    submitWorkflow @39 :SubmitWorkflow;
    getWorkflow @40 :GetWorkflow;
    cancelWorkflow @41 :CancelWorkflow;
    workflowAnswer @42 :WorkflowAnswer;
    getBacklog @43 :GetBacklog;
    backlogAnswer @44 :BacklogAnswer;
    leaderNotice @45 :LeaderNotice;
    leaderAway @46 :LeaderAway;
    imageWeight @47 :ImageWeight;
    taskOrder @48 :TaskOrder;
    taskEndReport @49 :TaskEndReport;
    runningTask @50 :RunningTask;
    vmState @51 :VmState;
    taskPrecedence @52 :TaskPrecedence;
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
  directory @4 :Int64;
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

struct StartOrders {
  vm @0 :Text;
  epoch @1 :Int64;
  boot @2 :Text;
  clockEchoMs @3 :Int64;
  orders @4 :List(TaskOrder);
  specs @5 :List(Text);
}

struct StartOrdersAnswer {
  clockMs @0 :Int64;
  refused @1 :List(TaskEndReport);
}

struct StopOrders {
  vm @0 :Text;
  epoch @1 :Int64;
  keys @2 :List(TaskKey);
}

struct VmHello {
  vm @0 :Text;
  epoch @1 :Int64;
  clockMs @2 :Int64;
  state @3 :VmState;
  readsSpecs @4 :Bool;
  readsProofAge @5 :Bool;
}

struct VmWelcome {
  accepted @0 :Bool;
  epoch @1 :Int64;
  fence @2 :Int64;
  leader @3 :Text;
}

struct VmReport {
  vm @0 :Text;
  isFull @1 :Bool;
  clockMs @2 :Int64;
  state @3 :VmState;
  running @4 :List(RunningTask);
  ended @5 :List(TaskEndReport);
  fence @6 :Int64;
}

struct VmReportAck {
  granted @0 :Bool;
  weights @1 :List(ImageWeight);
  orders @2 :List(TaskOrder);
  precedence @3 :List(TaskPrecedence);
  proofAgeMs @4 :Int64;
}

struct TaskPrecedence {
  taskId @0 :Text;
  rank @1 :Int64;
}

struct EndsRecorded {
  vm @0 :Text;
  keys @1 :List(TaskKey);
}

struct SubmitWorkflow {
  workflow @0 :Workflow;
  requestId @1 :Text;
}

struct QueueRef {
  name @0 :Text;
  baseUrl @1 :Text;
}

struct GetWorkflow {
  workflowId @0 :Text;
  queue @1 :QueueRef;
}

struct CancelWorkflow {
  workflowId @0 :Text;
  requestId @1 :Text;
  queue @2 :QueueRef;
}

struct WorkflowAnswer {
  outcome @0 :Text;
  phase @1 :Text;
  retryAfterS @2 :Int64;
  reason @3 :Text;
}

struct GetBacklog {
  queue @0 :Text;
  baseUrl @1 :Text;
}

struct BacklogAnswer {
  waiting @0 :Int64;
}

struct LeaderNotice {
  epoch @0 :Int64;
  processId @1 :Text;
  zone @2 :Text;
  address @3 :Text;
}

struct LeaderAway {
  processId @0 :Text;
}

struct ImageWeight {
  image @0 :Text;
  weight @1 :Float64;
  isLight @2 :Bool;
}

struct TaskOrder {
  taskId @0 :Text;
  attempt @1 :Int64;
  spec @2 :Text;
  reserved @3 :Capacity;
  checkpoint @4 :Text;
  ticket @5 :Text;
  image @6 :Text;
  fills @7 :Bool;
  latencyTargetMs @8 :Int64;
  estimatedMs @9 :Int64;
  millicores @10 :Int64;
  specNumber @11 :Int64;
}

struct TaskEndReport {
  taskId @0 :Text;
  attempt @1 :Int64;
  kind @2 :Text;
  checkpoint @3 :Text;
  reason @4 :Text;
  fullPaceMs @5 :Int64;
  hasRun @6 :Bool;
}

struct RunningTask {
  taskId @0 :Text;
  attempt @1 :Int64;
  checkpoint @2 :Text;
  progress @3 :Int64;
  gauge @4 :Float64;
  isStuck @5 :Bool;
  lacksOrder @6 :Bool;
  fullPaceMs @7 :Int64;
  pacePercent @8 :Int64;
  isUnconfirmed @9 :Bool;
}

struct VmState {
  boot @0 :Text;
  zone @1 :Text;
  pool @2 :Text;
  labels @3 :List(Text);
  capacity @4 :Capacity;
  isDraining @5 :Bool;
  remainingMs @6 :Int64;
  isSilent @7 :Bool;
}

struct Step {
  count @0 :Int64;
  needs @1 :Capacity;
  estimatedMs @2 :Int64;
  after @3 :List(Int64);
  checkpointing @4 :Bool;
  gang @5 :Bool;
  sameRack @6 :Bool;
  label @7 :Text;
  dataRack @8 :Text;
  maxPerVm @9 :Int64;
  speculative @10 :Bool;
  standing @11 :Bool;
  image @12 :Text;
  latencyTargetMs @13 :Int64;
  fills @14 :Bool;
  maxUnavailable @15 :Int64;
}

struct Workflow {
  workflowId @0 :Text;
  queue @1 :Text;
  pool @2 :Text;
  spec @3 :Text;
  steps @4 :List(Step);
  repeats @5 :Int64;
  firstDueMs @6 :Int64;
  intervalMs @7 :Int64;
  acceptedMs @8 :Int64;
  priority @9 :Int64;
  maxAttempts @10 :Int64;
  stretch @11 :Float64;
  latencyMs @12 :Int64;
  isAdvised @13 :Bool;
  baseUrl @14 :Text;
}
