@0xd1c6a54be0f27a93;
# Made by `python -m hickorylead.wire.schema`; edit the classes.

struct Accusation {
  server @0 :Text;
  born @1 :Int64;
  ageMs @2 :Int64;
  runs @3 :List(AccusedRun);
  hasEnded @4 :Bool;
}

struct AccusedRun {
  traits @0 :List(Int64);
  sentMs @1 :Int64;
  proven @2 :List(Int64);
}

struct Alive {
  sender @0 :Text;
  names @1 :List(Text);
  sequences @2 :List(Int64);
  since @3 :List(Int64);
  born @4 :List(Int64);
}

struct AppendLog {
  entries @0 :List(LogEntry);
}

struct AppendReply {
  member @0 :Text;
  term @1 :Int64;
  matched @2 :Bool;
  index @3 :Int64;
  sentAt @4 :Float64;
  repliedAt @5 :Float64;
}

struct AppendRequest {
  cluster @0 :Text;
  recipient @1 :Text;
  leader @2 :Text;
  term @3 :Int64;
  previousIndex @4 :Int64;
  previousTerm @5 :Int64;
  entries @6 :List(LogEntry);
  commit @7 :Int64;
  sentAt @8 :Float64;
  echoedAt @9 :Float64;
}

struct ApplyPreset {
  preset @0 :Preset;
}

struct ApplyService {
  service @0 :Service;
}

struct Ask {
  limit @0 :RateLimit;
  wanted @1 :Int64;
  isNeeded @2 :Bool;
  returned @3 :Int64;
}

struct Block {
  content @0 :Int64;
  leftMs @1 :Int64;
}

struct BlockNews {
  sender @0 :Text;
  blocks @1 :List(Block);
  cleared @2 :List(Int64);
  suspicions @3 :List(Suspicion);
  traitBlocks @4 :List(TraitBlock);
  traitSuspicions @5 :List(TraitSuspicion);
  released @6 :List(TraitBlock);
}

struct Change {
  changeId @0 :Text;
  expectedVersion @1 :Int64;
  operation @2 :Operation;
}

struct ChangeReply {
  outcome @0 :Outcome;
  final @1 :Bool;
  leader @2 :Text;
  lost @3 :Bool;
}

struct ChangeRequest {
  entry @0 :Text;
  change @1 :Change;
}

struct ClaimFinish {
  key @0 :Text;
  owner @1 :Text;
  answer @2 :FinalAnswer;
}

struct ClaimRelease {
  key @0 :Text;
  owner @1 :Text;
}

struct ClaimReply {
  holder @0 :Text;
  key @1 :Text;
  owner @2 :Text;
  state @3 :Text;
  answer @4 :FinalAnswer;
}

struct ClaimRequest {
  entry @0 :Text;
  key @1 :Text;
  owner @2 :Text;
  fingerprint @3 :Text;
  madeAt @4 :Float64;
  wall @5 :Float64;
}

struct Clearance {
  content @0 :Int64;
  ageMs @1 :Int64;
}

struct Configuration {
  version @0 :Int64;
  services @1 :List(Service);
  presets @2 :List(Preset);
  preset @3 :Text;
  drained @4 :List(Text);
  outsideVersion @5 :Int64;
  content @6 :Data;
}

struct ConfigurationRequest {
  node @0 :Text;
  version @1 :Int64;
}

struct ConfigurationUpdate {
  sender @0 :Text;
  ready @1 :Bool;
  fromLeader @2 :Bool;
  leader @3 :Text;
  version @4 :Int64;
  configuration @5 :Configuration;
}

struct ControlStatus {
  node @0 :Text;
  zone @1 :Text;
  version @2 :Int64;
  preset @3 :Text;
  leader @4 :Text;
  isLeader @5 :Bool;
  isHolder @6 :Bool;
  fence @7 :Int64;
  members @8 :Int64;
  largestDomain @9 :Int64;
  stranded @10 :Int64;
  downtimeS @11 :Float64;
  services @12 :List(ServiceStatus);
  groups @13 :List(GroupStatus);
  entries @14 :List(EntryStatus);
}

struct CoordinatorHello {
  node @0 :Text;
  address @1 :Text;
  incarnation @2 :Text;
  nodes @3 :List(Text);
  addresses @4 :List(Text);
  check @5 :Int64;
  isEmpty @6 :Bool;
  gateways @7 :Int64;
  hasTraffic @8 :Bool;
  crashes @9 :Int64;
}

struct Crash {
  content @0 :Int64;
  server @1 :Text;
  born @2 :Int64;
  ageMs @3 :Int64;
  hasEnded @4 :Bool;
}

struct CrashNews {
  sender @0 :Text;
  crashes @1 :List(Crash);
  clearances @2 :List(Clearance);
  accusations @3 :List(Accusation);
  traitClearances @4 :List(Clearance);
}

struct DeleteService {
  name @0 :Text;
}

struct DeparturesKept {
  sender @0 :Text;
  names @1 :List(Text);
}

struct Digest {
  entry @0 :Text;
  count @1 :Int64;
  check @2 :Int64;
  loads @3 :List(LeaderLoad);
  configuration @4 :Int64;
  fence @5 :Int64;
  periodS @6 :Float64;
}

struct DocumentUpdate {
  sender @0 :Text;
  version @1 :Int64;
  content @2 :Data;
  isFresh @3 :Bool;
}

struct DrainVm {
  vm @0 :Text;
  drained @1 :Bool;
}

struct Edge {
  entry @0 :Text;
  state @1 :ServerState;
}

struct EntryStatus {
  entry @0 :Text;
  version @1 :Int64;
}

struct ExplainReply {
  token @0 :Text;
  found @1 :Bool;
  service @2 :Text;
  workspace @3 :Text;
  steps @4 :List(ExplainStep);
  asker @5 :Text;
}

struct ExplainRequest {
  asker @0 :Text;
  token @1 :Text;
  requestId @2 :Text;
}

struct ExplainStep {
  afterS @0 :Float64;
  what @1 :Text;
  detail @2 :Text;
  weighed @3 :List(Text);
}

struct FinalAnswer {
  verdict @0 :Text;
  status @1 :Int64;
  contentType @2 :Text;
  body @3 :Data;
  complete @4 :Bool;
}

struct FoundReply {
  cluster @0 :Text;
  done @1 :Bool;
  detail @2 :Text;
}

struct FoundRequest {
  entry @0 :Text;
  cluster @1 :Text;
}

struct GatewayHello {
  node @0 :Text;
  boot @1 :Int64;
  version @2 :Int64;
  check @3 :Int64;
  isHome @4 :Bool;
  loads @5 :List(HeadLoad);
  stalled @6 :List(Text);
  flowing @7 :List(HeadFlow);
  blocked @8 :Int64;
  sentMs @9 :Int64;
  unitShare @10 :Float64;
  isShort @11 :Bool;
  heldShare @12 :Float64;
}

struct GatewayRecord {
  sender @0 :Text;
  lentShare @1 :Float64;
  gateways @2 :Int64;
}

struct Gone {
  entry @0 :Text;
  vm @1 :Text;
}

struct GroupStatus {
  name @0 :Text;
  service @1 :Text;
  domain @2 :Text;
  state @3 :Text;
  vms @4 :List(Text);
}

struct HardState {
  cluster @0 :Text;
  term @1 :Int64;
  votedFor @2 :Text;
  wasVoter @3 :Bool;
}

struct HeadFlow {
  name @0 :Text;
  ageMs @1 :Int64;
}

struct HeadLoad {
  name @0 :Text;
  running @1 :Int64;
}

struct IdentityReply {
  node @0 :Text;
  member @1 :Text;
  cluster @2 :Text;
}

struct IdentityRequest {
  node @0 :Text;
}

struct InstallSnapshot {
  snapshot @0 :Snapshot;
}

struct Instance {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  domain @4 :Text;
  slots @5 :Int64;
  phase @6 :Text;
  sequence @7 :Int64;
  models @8 :List(Text);
  staged @9 :List(Text);
  member @10 :Membership;
  silent @11 :Bool;
  lastModel @12 :Text;
  born @13 :Int64;
  loading @14 :Text;
}

struct InstanceNews {
  sender @0 :Text;
  news @1 :List(Instance);
  isFull @2 :Bool;
}

struct JoinRequest {
  member @0 :Text;
  isFounder @1 :Bool;
  wasVoter @2 :Bool;
}

struct KnownCoordinators {
  sender @0 :Text;
  nodes @1 :List(Text);
  addresses @2 :List(Text);
  isFresh @3 :Bool;
}

struct LeaderLoad {
  vm @0 :Text;
  load @1 :Load;
}

struct LeaseReply {
  grantor @0 :Text;
  granted @1 :Bool;
  highest @2 :Int64;
  round @3 :Int64;
}

struct LeaseRequest {
  candidate @0 :Text;
  number @1 :Int64;
  round @2 :Int64;
}

struct Leave {
  server @0 :Text;
  born @1 :Int64;
}

struct LeaveNews {
  sender @0 :Text;
  leaves @1 :List(Leave);
}

struct LimitNews {
  sender @0 :Text;
  limits @1 :List(RateLimit);
}

struct Load {
  running @0 :Int64;
  queued @1 :Int64;
}

struct LogEntry {
  index @0 :Int64;
  term @1 :Int64;
  change @2 :Change;
}

struct Membership {
  group @0 :Text;
  epoch @1 :Int64;
  rank @2 :Int64;
  state @3 :Text;
}

struct Message {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    snapshotRequest @4 :SnapshotRequest;
    joinRequest @5 :JoinRequest;
    leaseRequest @6 :LeaseRequest;
    leaseReply @7 :LeaseReply;
    claimRequest @8 :ClaimRequest;
    claimReply @9 :ClaimReply;
    claimRelease @10 :ClaimRelease;
    claimFinish @11 :ClaimFinish;
    configurationRequest @12 :ConfigurationRequest;
    configurationUpdate @13 :ConfigurationUpdate;
    changeRequest @14 :ChangeRequest;
    changeReply @15 :ChangeReply;
    foundRequest @16 :FoundRequest;
    foundReply @17 :FoundReply;
    identityRequest @18 :IdentityRequest;
    identityReply @19 :IdentityReply;
    edge @20 :Edge;
    gone @21 :Gone;
    digest @22 :Digest;
    resendRequest @23 :ResendRequest;
    tableUpdate @24 :TableUpdate;
    tableRequest @25 :TableRequest;
    statusRequest @26 :StatusRequest;
    statusReply @27 :StatusReply;
    explainRequest @28 :ExplainRequest;
    explainReply @29 :ExplainReply;
    withdrawal @30 :Withdrawal;
    instanceNews @31 :InstanceNews;
    alive @32 :Alive;
    gatewayHello @33 :GatewayHello;
    zoneLoads @34 :ZoneLoads;
    coordinatorHello @35 :CoordinatorHello;
    knownCoordinators @36 :KnownCoordinators;
    documentUpdate @37 :DocumentUpdate;
    replaceRequest @38 :ReplaceRequest;
    replaceReply @39 :ReplaceReply;
    readRequest @40 :ReadRequest;
    readReply @41 :ReadReply;
    stallNews @42 :StallNews;
    crashNews @43 :CrashNews;
    blockNews @44 :BlockNews;
    limitNews @45 :LimitNews;
    permitRequest @46 :PermitRequest;
    permitReply @47 :PermitReply;
    pauseNews @48 :PauseNews;
    leaveNews @49 :LeaveNews;
    relayRequest @50 :RelayRequest;
    relayOffer @51 :RelayOffer;
    relayOpen @52 :RelayOpen;
    relayAccepted @53 :RelayAccepted;
    relayRefused @54 :RelayRefused;
    relayData @55 :RelayData;
    relayClosed @56 :RelayClosed;
    relayFinished @57 :RelayFinished;
    gatewayRecord @58 :GatewayRecord;
    retryLoan @59 :RetryLoan;
    departuresKept @60 :DeparturesKept;
  }
}

struct NoChange {
}

struct Operation {
  union {
    applyService @0 :ApplyService;
    deleteService @1 :DeleteService;
    applyPreset @2 :ApplyPreset;
    switchPreset @3 :SwitchPreset;
    drainVm @4 :DrainVm;
    noChange @5 :NoChange;
    setVoters @6 :SetVoters;
    replaceWhole @7 :ReplaceWhole;
  }
}

struct Outcome {
  changeId @0 :Text;
  accepted @1 :Bool;
  version @2 :Int64;
  reason @3 :Text;
  detail @4 :Text;
}

struct Pause {
  server @0 :Text;
  born @1 :Int64;
  leftMs @2 :Int64;
  isEstimated @3 :Bool;
  ageMs @4 :Int64;
}

struct PauseNews {
  sender @0 :Text;
  pauses @1 :List(Pause);
}

struct PermitReply {
  gateway @0 :Text;
  number @1 :Int64;
  permits @2 :List(Permits);
}

struct PermitRequest {
  gateway @0 :Text;
  number @1 :Int64;
  asks @2 :List(Ask);
}

struct Permits {
  server @0 :Text;
  born @1 :Int64;
  count @2 :Int64;
  leaseMs @3 :Int64;
  waitMs @4 :Int64;
}

struct Preset {
  name @0 :Text;
  shares @1 :List(Share);
}

struct RateLimit {
  server @0 :Text;
  born @1 :Int64;
  perS @2 :Float64;
  isNamed @3 :Bool;
  ageMs @4 :Int64;
  namedMs @5 :Int64;
}

struct ReadReply {
  token @0 :Text;
  known @1 :Bool;
  version @2 :Int64;
  content @3 :Data;
}

struct ReadRequest {
  node @0 :Text;
  token @1 :Text;
  version @2 :Int64;
}

struct Record {
  union {
    hardState @0 :HardState;
    truncateLog @1 :TruncateLog;
    appendLog @2 :AppendLog;
    installSnapshot @3 :InstallSnapshot;
  }
}

struct RelayAccepted {
}

struct RelayClosed {
  isReset @0 :Bool;
}

struct RelayData {
  data @0 :Data;
}

struct RelayFinished {
  keepaliveMs @0 :Int64;
  receivedBytes @1 :Int64;
}

struct RelayOffer {
  origin @0 :Text;
  relay @1 :Text;
  address @2 :Text;
  token @3 :Text;
  reachable @4 :List(Scope);
}

struct RelayOpen {
  token @0 :Text;
  server @1 :Text;
  address @2 :Text;
  limitMs @3 :Int64;
  requestId @4 :Text;
}

struct RelayRefused {
  reason @0 :Text;
}

struct RelayRequest {
  origin @0 :Text;
}

struct ReplaceReply {
  token @0 :Text;
  accepted @1 :Bool;
}

struct ReplaceRequest {
  node @0 :Text;
  token @1 :Text;
  outsideVersion @2 :Int64;
  content @3 :Data;
}

struct ReplaceWhole {
  outsideVersion @0 :Int64;
  content @1 :Data;
}

struct Replica {
  group @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  generation @3 :Int64;
  vm @4 :Text;
  address @5 :Text;
  slots @6 :Int64;
  keepaliveS @7 :Float64;
}

struct ResendRequest {
}

struct RetryLoan {
  sender @0 :Text;
  helloMs @1 :Int64;
  lentShare @2 :Float64;
}

struct Scope {
  service @0 :Text;
  zone @1 :Text;
}

struct ServerState {
  vm @0 :Text;
  boot @1 :Int64;
  zone @2 :Text;
  domain @3 :Text;
  address @4 :Text;
  kind @5 :Text;
  phase @6 :Text;
  service @7 :Text;
  group @8 :Text;
  generation @9 :Int64;
  rank @10 :Int64;
  size @11 :Int64;
  weights @12 :Text;
  fence @13 :Int64;
  checksFence @14 :Bool;
  slots @15 :Int64;
  keepaliveS @16 :Float64;
}

struct Service {
  name @0 :Text;
  kind @1 :Text;
  model @2 :Text;
  version @3 :Text;
  adapters @4 :List(Text);
  replicas @5 :Int64;
  groupSize @6 :Int64;
  rank @7 :Int64;
  nonIdempotent @8 :Bool;
}

struct ServiceStatus {
  service @0 :Text;
  wanted @1 :Int64;
  serving @2 :Int64;
}

struct SetVoters {
  voters @0 :List(Text);
  leaving @1 :Text;
}

struct Share {
  service @0 :Text;
  zone @1 :Text;
  replicas @2 :Int64;
}

struct Snapshot {
  index @0 :Int64;
  term @1 :Int64;
  voters @2 :List(Text);
  configuration @3 :Configuration;
  outcomes @4 :List(Outcome);
  leaving @5 :Text;
}

struct SnapshotRequest {
  cluster @0 :Text;
  recipient @1 :Text;
  leader @2 :Text;
  term @3 :Int64;
  snapshot @4 :Snapshot;
  sentAt @5 :Float64;
}

struct StallNews {
  sender @0 :Text;
  heads @1 :List(Text);
}

struct StatusReply {
  token @0 :Text;
  status @1 :ControlStatus;
}

struct StatusRequest {
  entry @0 :Text;
  token @1 :Text;
}

struct Suspicion {
  content @0 :Int64;
  leftMs @1 :Int64;
  gateway @2 :Text;
}

struct SwitchPreset {
  name @0 :Text;
}

struct TableRequest {
  node @0 :Text;
  zone @1 :Text;
}

struct TableUpdate {
  zone @0 :Text;
  fence @1 :Int64;
  sequence @2 :Int64;
  full @3 :Bool;
  added @4 :List(Replica);
  removed @5 :List(Text);
  loads @6 :Data;
}

struct TraitBlock {
  traits @0 :List(Int64);
  leftMs @1 :Int64;
  lostMs @2 :Int64;
}

struct TraitSuspicion {
  trait @0 :Int64;
  leftMs @1 :Int64;
  lostMs @2 :Int64;
  gateway @3 :Text;
  sinceMs @4 :Int64;
}

struct TruncateLog {
  index @0 :Int64;
}

struct VoteReply {
  voter @0 :Text;
  term @1 :Int64;
  granted @2 :Bool;
  trial @3 :Bool;
}

struct VoteRequest {
  cluster @0 :Text;
  recipient @1 :Text;
  candidate @2 :Text;
  term @3 :Int64;
  lastIndex @4 :Int64;
  lastTerm @5 :Int64;
  trial @6 :Bool;
}

struct Withdrawal {
  zone @0 :Text;
  group @1 :Text;
  generation @2 :Int64;
}

struct ZoneLoads {
  sender @0 :Text;
  loads @1 :List(HeadLoad);
  isFresh @2 :Bool;
  gateways @3 :Int64;
  homeGateways @4 :Int64;
  isSettled @5 :Bool;
}

struct Envelope {
  sender @0 :Text;
  address @1 :Text;
  message @2 :Message;
}
