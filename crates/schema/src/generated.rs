// Generated from schema/hollowbarrow.json by hollowbarrow-schemagen. Do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Index up to which a disk holds its leader's log, as it acknowledged in the leader's term.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Acknowledgement {
    pub disk: DiskId,
    pub index: LogIndex,
}
impl ::std::convert::From<&Acknowledgement> for Acknowledgement {
    fn from(value: &Acknowledgement) -> Self {
        value.clone()
    }
}
///Nodes that form one replica of a group.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    pub domain: DomainId,
    pub epoch: Epoch,
    pub group: GroupName,
    ///Members by rank; the first one answers requests.
    pub members: ::std::vec::Vec<NodeId>,
    pub model: ModelName,
    pub phase: AllocationPhase,
    ///When it was formed, in milliseconds since 1970 by the authority's clock; for display only.
    pub since_ms: u64,
    ///Number of the replica within its group and availability zone.
    pub slot: u32,
    ///Start ids, by rank, of the member processes that loaded the model; empty until all members are ready. Only these processes may serve.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub starts: ::std::vec::Vec<StartId>,
    pub version: ::std::string::String,
}
impl ::std::convert::From<&Allocation> for Allocation {
    fn from(value: &Allocation) -> Self {
        value.clone()
    }
}
///Whether an allocation must serve or release its nodes.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum AllocationPhase {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "draining")]
    Draining,
}
impl ::std::convert::From<&Self> for AllocationPhase {
    fn from(value: &AllocationPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AllocationPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Active => f.write_str("active"),
            Self::Draining => f.write_str("draining"),
        }
    }
}
impl ::std::str::FromStr for AllocationPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "active" => Ok(Self::Active),
            "draining" => Ok(Self::Draining),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AllocationPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AllocationPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AllocationPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Index up to which a follower's log agrees with the leader's.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AppendReply {
    pub accepted: bool,
    pub disk: DiskIdentity,
    ///Term of the message that this answers; indexes and rounds are those of its leader.
    pub leader_term: Term,
    pub matched: LogIndex,
    pub round: u64,
    pub term: Term,
}
impl ::std::convert::From<&AppendReply> for AppendReply {
    fn from(value: &AppendReply) -> Self {
        value.clone()
    }
}
///Entries from the leader, or a heartbeat if there are none.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AppendRequest {
    ///What the receiver has acknowledged to this leader.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub acknowledged: ::std::option::Option<Acknowledgement>,
    pub commit: LogIndex,
    ///Milliseconds since a majority last confirmed the leader.
    pub confirmed_ms: u64,
    pub entries: ::std::vec::Vec<LogEntry>,
    pub previous_index: LogIndex,
    pub previous_term: Term,
    ///Heartbeat round, echoed in the reply.
    pub round: u64,
    pub term: Term,
}
impl ::std::convert::From<&AppendRequest> for AppendRequest {
    fn from(value: &AppendRequest) -> Self {
        value.clone()
    }
}
///Groups and endpoints that an operator applies from a file.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ApplyDocument {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub endpoints: ::std::vec::Vec<EndpointSpec>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub groups: ::std::vec::Vec<GroupSpec>,
}
impl ::std::convert::From<&ApplyDocument> for ApplyDocument {
    fn from(value: &ApplyDocument) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ApplyDocument {
    fn default() -> Self {
        Self {
            endpoints: Default::default(),
            groups: Default::default(),
        }
    }
}
///Messages that elect an availability zone's authority and replicate its table.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum AuthorityMessage {
    #[serde(rename = "prepare")]
    Prepare { term: Term },
    #[serde(rename = "promise")]
    Promise {
        granted: bool,
        recovering: bool,
        ///Process of the sender.
        start: StartId,
        #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
        table: ::std::option::Option<ZoneTable>,
        term: Term,
    },
    #[serde(rename = "accept")]
    Accept {
        ///Process of the receiver, if the sender knows it; a member that lost its table takes one only if it is named here.
        #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
        receiver: ::std::option::Option<StartId>,
        round: u64,
        #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
        table: ::std::option::Option<ZoneTable>,
        term: Term,
    },
    #[serde(rename = "accepted")]
    Accepted {
        granted: bool,
        round: u64,
        ///Process of the sender.
        start: StartId,
        term: Term,
        version: u64,
    },
}
impl ::std::convert::From<&Self> for AuthorityMessage {
    fn from(value: &AuthorityMessage) -> Self {
        value.clone()
    }
}
///Why a change was refused: another change to the same object was accepted before it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChangeConflict {
    ///Author of the command that was accepted.
    pub author: ::std::string::String,
    pub found: Revision,
    ///Object that both changes affect.
    pub object: ::std::string::String,
    ///The command that was accepted.
    pub theirs: ::std::option::Option<ConfigCommand>,
    pub wanted: Revision,
}
impl ::std::convert::From<&ChangeConflict> for ChangeConflict {
    fn from(value: &ChangeConflict) -> Self {
        value.clone()
    }
}
///Id of one change, chosen by the submitter; a change that is sent again carries the same id.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ChangeId(pub ::std::string::String);
impl ::std::ops::Deref for ChangeId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ChangeId> for ::std::string::String {
    fn from(value: ChangeId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ChangeId> for ChangeId {
    fn from(value: &ChangeId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for ChangeId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ChangeId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Outcome of a change.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    #[serde(rename = "accepted")]
    Accepted(Revision),
    #[serde(rename = "conflict")]
    Conflict(ChangeConflict),
    #[serde(rename = "invalid")]
    Invalid(::std::vec::Vec<FieldFault>),
}
impl ::std::convert::From<&Self> for ChangeOutcome {
    fn from(value: &ChangeOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Revision> for ChangeOutcome {
    fn from(value: Revision) -> Self {
        Self::Accepted(value)
    }
}
impl ::std::convert::From<ChangeConflict> for ChangeOutcome {
    fn from(value: ChangeConflict) -> Self {
        Self::Conflict(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<FieldFault>> for ChangeOutcome {
    fn from(value: ::std::vec::Vec<FieldFault>) -> Self {
        Self::Invalid(value)
    }
}
///Closes a claim with its answer, or without one if the answer is not kept or the outcome is unknown.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimClose {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<StoredAnswer>,
    pub attempt: ::std::string::String,
    pub key: ClaimKey,
    ///True if the request is known to have run although its answer is not kept.
    #[serde(default)]
    pub ran: bool,
}
impl ::std::convert::From<&ClaimClose> for ClaimClose {
    fn from(value: &ClaimClose) -> Self {
        value.clone()
    }
}
///One entry of the claims log.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum ClaimCommand {
    #[serde(rename = "open")]
    Open(ClaimOpen),
    #[serde(rename = "close")]
    Close(ClaimClose),
    #[serde(rename = "release")]
    Release(ClaimRelease),
    #[serde(rename = "sweep")]
    Sweep(ClaimSweep),
}
impl ::std::convert::From<&Self> for ClaimCommand {
    fn from(value: &ClaimCommand) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ClaimOpen> for ClaimCommand {
    fn from(value: ClaimOpen) -> Self {
        Self::Open(value)
    }
}
impl ::std::convert::From<ClaimClose> for ClaimCommand {
    fn from(value: ClaimClose) -> Self {
        Self::Close(value)
    }
}
impl ::std::convert::From<ClaimRelease> for ClaimCommand {
    fn from(value: ClaimRelease) -> Self {
        Self::Release(value)
    }
}
impl ::std::convert::From<ClaimSweep> for ClaimCommand {
    fn from(value: ClaimSweep) -> Self {
        Self::Sweep(value)
    }
}
///Digest of organisation and idempotency key.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ClaimKey(pub ::std::string::String);
impl ::std::ops::Deref for ClaimKey {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ClaimKey> for ::std::string::String {
    fn from(value: ClaimKey) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ClaimKey> for ClaimKey {
    fn from(value: &ClaimKey) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for ClaimKey {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ClaimKey {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Requests the exclusive right to run a non-repeatable request.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimOpen {
    ///Id of this attempt; only the same attempt may complete or release the claim.
    pub attempt: ::std::string::String,
    ///Digest of target (path and query) and body, which detects a key that is reused for another request.
    pub fingerprint: u64,
    pub key: ClaimKey,
    ///Milliseconds, by the clock recorded in the log, after which the outcome of an unfinished claim is treated as unknown.
    pub lifetime_ms: u64,
}
impl ::std::convert::From<&ClaimOpen> for ClaimOpen {
    fn from(value: &ClaimOpen) -> Self {
        value.clone()
    }
}
///Result of a claim command for the daemon that proposed it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    #[serde(rename = "granted")]
    Granted,
    #[serde(rename = "in_progress")]
    InProgress,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "mismatch")]
    Mismatch,
    #[serde(rename = "closed")]
    Closed,
    #[serde(rename = "not_held")]
    NotHeld,
    #[serde(rename = "answered")]
    Answered(StoredAnswer),
}
impl ::std::convert::From<&Self> for ClaimOutcome {
    fn from(value: &ClaimOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<StoredAnswer> for ClaimOutcome {
    fn from(value: StoredAnswer) -> Self {
        Self::Answered(value)
    }
}
///Releases a claim whose request was not run.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRelease {
    pub attempt: ::std::string::String,
    pub key: ClaimKey,
}
impl ::std::convert::From<&ClaimRelease> for ClaimRelease {
    fn from(value: &ClaimRelease) -> Self {
        value.clone()
    }
}
///Time by the leader's clock, by which unfinished claims expire and old ones are removed.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimSweep {
    pub now_ms: u64,
    pub retain_ms: u64,
}
impl ::std::convert::From<&ClaimSweep> for ClaimSweep {
    fn from(value: &ClaimSweep) -> Self {
        value.clone()
    }
}
///A change as submitted: its id, its author, and the revision that it is based on.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    ///Name of the operator or role that submitted the change.
    pub author: ::std::string::String,
    ///Revision of the object that the change is based on; without one the change overwrites any revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub base: ::std::option::Option<Revision>,
    pub command: ConfigCommand,
    pub id: ChangeId,
}
impl ::std::convert::From<&ConfigChange> for ConfigChange {
    fn from(value: &ConfigChange) -> Self {
        value.clone()
    }
}
///One change to the accepted configuration.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum ConfigCommand {
    #[serde(rename = "put_group")]
    PutGroup(GroupSpec),
    #[serde(rename = "delete_group")]
    DeleteGroup(GroupName),
    #[serde(rename = "change_labels")]
    ChangeLabels(LabelChange),
    #[serde(rename = "put_endpoint")]
    PutEndpoint(EndpointSpec),
    #[serde(rename = "delete_endpoint")]
    DeleteEndpoint(::std::string::String),
    #[serde(rename = "set_quota")]
    SetQuota(Quota),
}
impl ::std::convert::From<&Self> for ConfigCommand {
    fn from(value: &ConfigCommand) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<GroupSpec> for ConfigCommand {
    fn from(value: GroupSpec) -> Self {
        Self::PutGroup(value)
    }
}
impl ::std::convert::From<GroupName> for ConfigCommand {
    fn from(value: GroupName) -> Self {
        Self::DeleteGroup(value)
    }
}
impl ::std::convert::From<LabelChange> for ConfigCommand {
    fn from(value: LabelChange) -> Self {
        Self::ChangeLabels(value)
    }
}
impl ::std::convert::From<EndpointSpec> for ConfigCommand {
    fn from(value: EndpointSpec) -> Self {
        Self::PutEndpoint(value)
    }
}
impl ::std::convert::From<Quota> for ConfigCommand {
    fn from(value: Quota) -> Self {
        Self::SetQuota(value)
    }
}
///Daemons that a controller has been in contact with, as stored in its data folder.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ContactRecord {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub controllers: ::std::vec::Vec<DaemonId>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub gateways: ::std::vec::Vec<DaemonId>,
}
impl ::std::convert::From<&ContactRecord> for ContactRecord {
    fn from(value: &ContactRecord) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ContactRecord {
    fn default() -> Self {
        Self {
            controllers: Default::default(),
            gateways: Default::default(),
        }
    }
}
///Digest of a content by which requests that crash upstreams are recognised: of a whole request, as its caller sends it again (organisation, method, host, target and body), or of one part of a prompt for one model.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ContentDigest(pub u64);
impl ::std::ops::Deref for ContentDigest {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<ContentDigest> for u64 {
    fn from(value: ContentDigest) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ContentDigest> for ContentDigest {
    fn from(value: &ContentDigest) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for ContentDigest {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ContentDigest {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for ContentDigest {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for ContentDigest {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for ContentDigest {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///State that a controller sends to the other controllers several times a second.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControllerHello {
    pub beats: ::std::vec::Vec<WorkerBeat>,
    ///Crash records: new or changed ones at once, the others at intervals; sent to the leader only, or to all controllers while no leader is known.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashes: ::std::vec::Vec<CrashRecord>,
    ///Number of gateways whose primary controller this is.
    pub gateways: u32,
    ///Leader that the sender follows; a controller that has just started may not know it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub leader: ::std::option::Option<DaemonId>,
    ///Sums over those gateways; sent to the leader only, or to all controllers while no leader is known; none in other messages.
    pub loads: ::std::option::Option<::std::vec::Vec<WorkerLoad>>,
    ///True once any gateway has reported load at a worker, to this controller or to another one.
    pub served: bool,
    ///Hash over the controller's table of workers.
    pub workers: u64,
    pub zone: ZoneId,
}
impl ::std::convert::From<&ControllerHello> for ControllerHello {
    fn from(value: &ControllerHello) -> Self {
        value.clone()
    }
}
///A controller and its zone.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControllerPlace {
    pub id: DaemonId,
    pub zone: ZoneId,
}
impl ::std::convert::From<&ControllerPlace> for ControllerPlace {
    fn from(value: &ControllerPlace) -> Self {
        value.clone()
    }
}
///Record of a content under which upstreams have crashed.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashRecord {
    ///Milliseconds since a request with this digest was last answered completely; none if no such answer is known.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answered_ms: ::std::option::Option<u32>,
    ///Latest report about probe requests; none if there is no recent one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub probe: ::std::option::Option<ProbeReport>,
    pub request: ContentDigest,
    pub runs: ::std::vec::Vec<CrashedRun>,
}
impl ::std::convert::From<&CrashRecord> for CrashRecord {
    fn from(value: &CrashRecord) -> Self {
        value.clone()
    }
}
///A run of a request during which the upstream's process terminated.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashedRun {
    ///Milliseconds since the upstream's termination was detected.
    pub ended_ms: u32,
    ///Hash of the organisation whose request it was; none if the content is specific to an organisation.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub organisation: ::std::option::Option<u64>,
    ///Milliseconds since the request was sent to the upstream.
    pub sent_ms: u32,
    ///Hash of the id of the upstream's instance.
    pub upstream: u64,
}
impl ::std::convert::From<&CrashedRun> for CrashedRun {
    fn from(value: &CrashedRun) -> Self {
        value.clone()
    }
}
///Id of one daemon: the configured name of an entry node, or the address under which other daemons reach a gateway or controller.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct DaemonId(pub ::std::string::String);
impl ::std::ops::Deref for DaemonId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DaemonId> for ::std::string::String {
    fn from(value: DaemonId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&DaemonId> for DaemonId {
    fn from(value: &DaemonId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for DaemonId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for DaemonId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for DaemonId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Status of a daemon.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DaemonStatus {
    pub applied: LogIndex,
    ///Authority of this daemon's zone, as far as known.
    pub authority: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub claims_leader: ::std::option::Option<::std::string::String>,
    ///Milliseconds since the leader last confirmed that this daemon's log is current; none if it has not since the daemon started.
    pub confirmed_ms: ::std::option::Option<u64>,
    ///Why this voter does not vote; absent if it votes.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub fault: ::std::option::Option<::std::string::String>,
    pub id: DaemonId,
    #[serde(default)]
    pub in_flight: u32,
    pub leader: ::std::option::Option<::std::string::String>,
    ///This daemon's view of each log.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub logs: ::std::vec::Vec<LogStatus>,
    pub ready: bool,
    ///Accelerators of managed, live nodes of the zone that are in no serving replica.
    pub stranded: u32,
    pub voters: ::std::vec::Vec<DaemonId>,
    pub zone: ZoneId,
}
impl ::std::convert::From<&DaemonStatus> for DaemonStatus {
    fn from(value: &DaemonStatus) -> Self {
        value.clone()
    }
}
///A complete configuration, as sent by the operator.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeploymentDocument {
    pub text: ::std::string::String,
    pub version: u64,
}
impl ::std::convert::From<&DeploymentDocument> for DeploymentDocument {
    fn from(value: &DeploymentDocument) -> Self {
        value.clone()
    }
}
///Tells a gateway that no leader confirms the configuration that it has in force, while a majority of the voters is in contact and may hold a later one. A gateway that has received no view of a leader since its start stops using it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeploymentWithdrawal {
    ///Version that the gateway has reported.
    pub version: u64,
}
impl ::std::convert::From<&DeploymentWithdrawal> for DeploymentWithdrawal {
    fn from(value: &DeploymentWithdrawal) -> Self {
        value.clone()
    }
}
///Random number that identifies the content of one data folder; a folder that was emptied gets another one.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct DiskId(pub u64);
impl ::std::ops::Deref for DiskId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<DiskId> for u64 {
    fn from(value: DiskId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&DiskId> for DiskId {
    fn from(value: &DiskId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for DiskId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for DiskId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for DiskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for DiskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for DiskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for DiskId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Identity of the disk behind an answer.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DiskIdentity {
    ///None for a daemon without a disk.
    pub id: ::std::option::Option<DiskId>,
    ///True if an earlier release recorded that the disk was part of the log's quorum.
    pub initialised: bool,
}
impl ::std::convert::From<&DiskIdentity> for DiskIdentity {
    fn from(value: &DiskIdentity) -> Self {
        value.clone()
    }
}
///Name of a fabric domain; a replica never spans two.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct DomainId(pub ::std::string::String);
impl ::std::ops::Deref for DomainId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DomainId> for ::std::string::String {
    fn from(value: DomainId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&DomainId> for DomainId {
    fn from(value: &DomainId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for DomainId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for DomainId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for DomainId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///An external endpoint that serves a model, for example the other system during a migration.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    ///IP address and port of its HTTP interface.
    pub address: ::std::string::String,
    pub model: ModelName,
    ///Name of the endpoint.
    pub name: ::std::string::String,
    ///Share of the model's traffic, relative to the weights of the model's groups.
    pub weight: u32,
}
impl ::std::convert::From<&EndpointSpec> for EndpointSpec {
    fn from(value: &EndpointSpec) -> Self {
        value.clone()
    }
}
///Content of a log entry.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum EntryPayload {
    #[serde(rename = "noop")]
    Noop,
    #[serde(rename = "voters")]
    Voters(::std::vec::Vec<DaemonId>),
    #[serde(rename = "voter_set")]
    VoterSet(VoterSet),
    #[serde(rename = "config")]
    Config(ConfigChange),
    #[serde(rename = "claim")]
    Claim(ClaimCommand),
    #[serde(rename = "deployment")]
    Deployment(DeploymentDocument),
}
impl ::std::convert::From<&Self> for EntryPayload {
    fn from(value: &EntryPayload) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::vec::Vec<DaemonId>> for EntryPayload {
    fn from(value: ::std::vec::Vec<DaemonId>) -> Self {
        Self::Voters(value)
    }
}
impl ::std::convert::From<VoterSet> for EntryPayload {
    fn from(value: VoterSet) -> Self {
        Self::VoterSet(value)
    }
}
impl ::std::convert::From<ConfigChange> for EntryPayload {
    fn from(value: ConfigChange) -> Self {
        Self::Config(value)
    }
}
impl ::std::convert::From<ClaimCommand> for EntryPayload {
    fn from(value: ClaimCommand) -> Self {
        Self::Claim(value)
    }
}
impl ::std::convert::From<DeploymentDocument> for EntryPayload {
    fn from(value: DeploymentDocument) -> Self {
        Self::Deployment(value)
    }
}
///Number that fences orders to a node; never decreases within an availability zone; 0 means none.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Epoch(pub u64);
impl ::std::ops::Deref for Epoch {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Epoch> for u64 {
    fn from(value: Epoch) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Epoch> for Epoch {
    fn from(value: &Epoch) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for Epoch {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for Epoch {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///`ErrorAnswer`
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorAnswer {
    pub error: ErrorBody,
}
impl ::std::convert::From<&ErrorAnswer> for ErrorAnswer {
    fn from(value: &ErrorAnswer) -> Self {
        value.clone()
    }
}
///Description of an error, in the format of the engines' API.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    pub code: ::std::string::String,
    pub message: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub param: ::std::option::Option<::std::string::String>,
    pub ran: ErrorRan,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub request_id: ::std::option::Option<::std::string::String>,
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
impl ::std::convert::From<&ErrorBody> for ErrorBody {
    fn from(value: &ErrorBody) -> Self {
        value.clone()
    }
}
///Whether the request ran.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ErrorRan {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::convert::From<&Self> for ErrorRan {
    fn from(value: &ErrorRan) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ErrorRan {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ErrorRan {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ErrorRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An order with its owner and the epoch that fences it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FencedOrder {
    pub epoch: Epoch,
    pub order: NodeOrder,
    pub owner: ::std::string::String,
}
impl ::std::convert::From<&FencedOrder> for FencedOrder {
    fn from(value: &FencedOrder) -> Self {
        value.clone()
    }
}
///One fault in a file or request written by a person.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FieldFault {
    ///Values that are allowed.
    pub allowed: ::std::string::String,
    ///Path of the field.
    pub field: ::std::string::String,
    ///Value that was found.
    pub found: ::std::string::String,
    ///Line in the file, starting at 1; absent if the input is not a file.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub line: ::std::option::Option<u32>,
}
impl ::std::convert::From<&FieldFault> for FieldFault {
    fn from(value: &FieldFault) -> Self {
        value.clone()
    }
}
///Messages between gateways and controllers.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum FleetMessage {
    #[serde(rename = "gateway")]
    Gateway(GatewayHello),
    #[serde(rename = "controller")]
    Controller(ControllerHello),
    #[serde(rename = "view")]
    View(FleetView),
    #[serde(rename = "controllers")]
    Controllers(::std::vec::Vec<DaemonId>),
    #[serde(rename = "peers")]
    Peers(::std::vec::Vec<GatewayPlace>),
    #[serde(rename = "permit_ask")]
    PermitAsk(PermitAsk),
    #[serde(rename = "permit_grant")]
    PermitGrant(PermitGrant),
    #[serde(rename = "deployment")]
    Deployment(DeploymentDocument),
    #[serde(rename = "withdrawal")]
    Withdrawal(DeploymentWithdrawal),
    #[serde(rename = "workers")]
    Workers(::std::vec::Vec<WorkerReport>),
    #[serde(rename = "departures")]
    Departures(::std::vec::Vec<WorkerDeparture>),
    #[serde(rename = "releases")]
    Releases(::std::vec::Vec<QuarantineRelease>),
    #[serde(rename = "releases_held")]
    ReleasesHeld(::std::vec::Vec<ContentDigest>),
}
impl ::std::convert::From<&Self> for FleetMessage {
    fn from(value: &FleetMessage) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<GatewayHello> for FleetMessage {
    fn from(value: GatewayHello) -> Self {
        Self::Gateway(value)
    }
}
impl ::std::convert::From<ControllerHello> for FleetMessage {
    fn from(value: ControllerHello) -> Self {
        Self::Controller(value)
    }
}
impl ::std::convert::From<FleetView> for FleetMessage {
    fn from(value: FleetView) -> Self {
        Self::View(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<DaemonId>> for FleetMessage {
    fn from(value: ::std::vec::Vec<DaemonId>) -> Self {
        Self::Controllers(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<GatewayPlace>> for FleetMessage {
    fn from(value: ::std::vec::Vec<GatewayPlace>) -> Self {
        Self::Peers(value)
    }
}
impl ::std::convert::From<PermitAsk> for FleetMessage {
    fn from(value: PermitAsk) -> Self {
        Self::PermitAsk(value)
    }
}
impl ::std::convert::From<PermitGrant> for FleetMessage {
    fn from(value: PermitGrant) -> Self {
        Self::PermitGrant(value)
    }
}
impl ::std::convert::From<DeploymentDocument> for FleetMessage {
    fn from(value: DeploymentDocument) -> Self {
        Self::Deployment(value)
    }
}
impl ::std::convert::From<DeploymentWithdrawal> for FleetMessage {
    fn from(value: DeploymentWithdrawal) -> Self {
        Self::Withdrawal(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<WorkerReport>> for FleetMessage {
    fn from(value: ::std::vec::Vec<WorkerReport>) -> Self {
        Self::Workers(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<WorkerDeparture>> for FleetMessage {
    fn from(value: ::std::vec::Vec<WorkerDeparture>) -> Self {
        Self::Departures(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<QuarantineRelease>> for FleetMessage {
    fn from(value: ::std::vec::Vec<QuarantineRelease>) -> Self {
        Self::Releases(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<ContentDigest>> for FleetMessage {
    fn from(value: ::std::vec::Vec<ContentDigest>) -> Self {
        Self::ReleasesHeld(value)
    }
}
///State that the leading controller publishes to every gateway, through the gateway's primary controller or a controller of the gateway's zone.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetView {
    pub controllers: ::std::vec::Vec<ControllerPlace>,
    ///Records by which requests in `held` are known to crash upstreams: new or changed ones at once, the others at intervals. Gateways send them to the leader of the next term.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashes: ::std::vec::Vec<CrashRecord>,
    ///Version of the newest configuration that the leader knows to be committed; 0 means none.
    pub deployment: u64,
    ///Number of gateways from which controllers have recently received messages.
    pub gateways: u32,
    ///Requests that are known to crash upstreams, and those that an operator has recently released; both lists are limited in length.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<HeldRequest>,
    ///Controller that issues permits for upstreams that report limits.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub leader: ::std::option::Option<DaemonId>,
    ///All upstreams that report limits, and those that have recently ceased to; published after a change and at intervals, and empty in the views between.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub limits: ::std::vec::Vec<UpstreamLimit>,
    ///Sums over all gateways.
    pub loads: ::std::vec::Vec<WorkerLoad>,
    ///Increases with each view of a term.
    pub number: u64,
    ///Leader's clock in milliseconds since its process started; it shows which views were held up on their way.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sent_ms: ::std::option::Option<u64>,
    pub term: Term,
    ///Workers to which no new requests must be sent.
    pub withheld: ::std::vec::Vec<WorkerId>,
}
impl ::std::convert::From<&FleetView> for FleetView {
    fn from(value: &FleetView) -> Self {
        value.clone()
    }
}
///A proposal that is forwarded to a log's leader.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ForwardCall {
    pub id: u64,
    pub log: LogName,
    pub payload: EntryPayload,
}
impl ::std::convert::From<&ForwardCall> for ForwardCall {
    fn from(value: &ForwardCall) -> Self {
        value.clone()
    }
}
///Answer to a forwarded proposal.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ForwardReply {
    pub id: u64,
    pub outcome: ProposalOutcome,
}
impl ::std::convert::From<&ForwardReply> for ForwardReply {
    fn from(value: &ForwardReply) -> Self {
        value.clone()
    }
}
///Disks that found a log together. No vote founds it before all of them have agreed to this in one term.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Founders {
    pub disks: ::std::vec::Vec<VoterDisk>,
    ///Term in which they were proposed.
    pub term: Term,
}
impl ::std::convert::From<&Founders> for Founders {
    fn from(value: &Founders) -> Self {
        value.clone()
    }
}
///State that a gateway sends to a controller several times a second; the controller answers with the data that the gateway lacks.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayHello {
    ///Crash records: new or changed ones at once, the others at intervals.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashes: ::std::vec::Vec<CrashRecord>,
    ///Version of the configuration in force at the gateway; 0 means none.
    pub deployment: u64,
    ///Primary controller, which forwards to this gateway what the other controllers publish; none while the gateway is looking for one, in which case all controllers send to it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub home: ::std::option::Option<DaemonId>,
    ///Sent to the primary controller only, or to all controllers if there is none.
    pub loads: ::std::vec::Vec<WorkerLoad>,
    ///Services whose workers the gateway does not reach itself, or for which it has lately found no peer; it needs peers for them.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unreached: ::std::vec::Vec<::std::string::String>,
    ///Hash over the gateway's table of workers.
    pub workers: u64,
    pub zone: ZoneId,
}
impl ::std::convert::From<&GatewayHello> for GatewayHello {
    fn from(value: &GatewayHello) -> Self {
        value.clone()
    }
}
///A gateway and its zone.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayPlace {
    pub id: DaemonId,
    pub zone: ZoneId,
}
impl ::std::convert::From<&GatewayPlace> for GatewayPlace {
    fn from(value: &GatewayPlace) -> Self {
        value.clone()
    }
}
///A node at whose address no process listened.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GoneDigest {
    ///Age of that observation in milliseconds when the digest was sent.
    pub a: u32,
    pub n: NodeId,
}
impl ::std::convert::From<&GoneDigest> for GoneDigest {
    fn from(value: &GoneDigest) -> Self {
        value.clone()
    }
}
///Explanation of a group's state in one availability zone.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GroupExplanation {
    pub author: ::std::string::String,
    pub group: GroupName,
    pub nodes: ::std::vec::Vec<NodeVerdict>,
    pub replicas: ::std::vec::Vec<ReplicaStatus>,
    pub unblock: ::std::vec::Vec<::std::string::String>,
    pub wanted_here: u32,
    pub zone: ZoneId,
}
impl ::std::convert::From<&GroupExplanation> for GroupExplanation {
    fn from(value: &GroupExplanation) -> Self {
        value.clone()
    }
}
///Name of a group, as given by the operator.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct GroupName(pub ::std::string::String);
impl ::std::ops::Deref for GroupName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<GroupName> for ::std::string::String {
    fn from(value: GroupName) -> Self {
        value.0
    }
}
impl ::std::convert::From<&GroupName> for GroupName {
    fn from(value: &GroupName) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for GroupName {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for GroupName {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for GroupName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Desired state of a group, as set by an operator.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    ///Adapter to load in addition to the weights, if any.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    ///Desired number of replicas over all availability zones.
    pub count: u32,
    pub model: ModelName,
    pub name: GroupName,
    pub selector: Selector,
    ///Nodes in each replica.
    pub size: u32,
    ///Nodes kept free for this group in each availability zone that runs it; more spares shorten downtime but leave more accelerators unused.
    #[serde(default)]
    pub spares: u32,
    #[serde(default = "defaults::group_spec_urgency")]
    pub urgency: Urgency,
    ///Version of the model's weights.
    pub version: ::std::string::String,
    ///Share of the model's traffic, relative to the weights of its other versions.
    #[serde(default = "defaults::default_u64::<u32, 100>")]
    pub weight: u32,
}
impl ::std::convert::From<&GroupSpec> for GroupSpec {
    fn from(value: &GroupSpec) -> Self {
        value.clone()
    }
}
///A group, its revision and how many of its replicas serve.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GroupStatus {
    #[serde(default)]
    pub down_ms: u64,
    pub revision: Revision,
    pub serving: u32,
    pub spec: GroupSpec,
    pub wanted: u32,
}
impl ::std::convert::From<&GroupStatus> for GroupStatus {
    fn from(value: &GroupStatus) -> Self {
        value.clone()
    }
}
///A content that crashes the upstreams that run it, or that an operator has released from quarantine.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeldRequest {
    ///Remaining milliseconds of quarantine, during which it is sent to no upstream; 0 if a probe request is allowed.
    pub left_ms: u32,
    ///Hash of the only organisation whose requests are in quarantine; none if those of all are.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub organisation: ::std::option::Option<u64>,
    ///Hash of the id of the gateway that may send the next probe request; none while no gateway may.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub prober: ::std::option::Option<u64>,
    ///Milliseconds since an operator released it, which has the same effect as an answer at that time; none if it was not released.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub released_ms: ::std::option::Option<u32>,
    pub request: ContentDigest,
}
impl ::std::convert::From<&HeldRequest> for HeldRequest {
    fn from(value: &HeldRequest) -> Self {
        value.clone()
    }
}
///A key, stored only as its hash.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    ///SHA-256 of the key, as 64 hexadecimal digits.
    pub sha256: ::std::string::String,
}
impl ::std::convert::From<&KeySettings> for KeySettings {
    fn from(value: &KeySettings) -> Self {
        value.clone()
    }
}
///Labels to set on a node and to remove from it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LabelChange {
    pub node: NodeId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub remove: ::std::vec::Vec<::std::string::String>,
    #[serde(default = "defaults::label_change_set")]
    pub set: Labels,
}
impl ::std::convert::From<&LabelChange> for LabelChange {
    fn from(value: &LabelChange) -> Self {
        value.clone()
    }
}
///Labels of a node.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(transparent)]
pub struct Labels(
    pub ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
);
impl ::std::ops::Deref for Labels {
    type Target = ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >;
    fn deref(
        &self,
    ) -> &::std::collections::BTreeMap<::std::string::String, ::std::string::String> {
        &self.0
    }
}
impl ::std::convert::From<Labels>
for ::std::collections::BTreeMap<::std::string::String, ::std::string::String> {
    fn from(value: Labels) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Labels> for Labels {
    fn from(value: &Labels) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<
    ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
> for Labels {
    fn from(
        value: ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
    ) -> Self {
        Self(value)
    }
}
///Limits of the ingress for callers.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    #[serde(default = "defaults::default_u64::<u64, 33554432>")]
    pub answer_bytes: u64,
    #[serde(default = "defaults::default_u64::<u64, 4194304>")]
    pub body_bytes: u64,
    ///Milliseconds for which the outcome of a non-repeatable request is kept, counted from when its claim was opened.
    #[serde(default = "defaults::default_u64::<u64, 3600000>")]
    pub claim_retain_ms: u64,
    #[serde(default = "defaults::default_u64::<u32, 4096>")]
    pub connections: u32,
    ///Timeout in milliseconds for a caller to send its headers.
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub header_ms: u64,
    ///Idle timeout in milliseconds of a streamed answer: the longest time without a complete event from the upstream.
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub idle_ms: u64,
    ///Largest answer of a non-repeatable request that is kept for callers that send the request again.
    #[serde(default = "defaults::default_u64::<u64, 65536>")]
    pub kept_answer_bytes: u64,
    ///Maximum number of replicas that load from the weights store concurrently in one availability zone.
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub loads: u32,
    ///Memory of the machine in MB, part of which may hold what clients have sent or have not read yet.
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub memory_mb: u32,
    ///Maximum number of waiting requests in each priority class.
    #[serde(default = "defaults::default_u64::<u32, 1024>")]
    pub queue: u32,
    ///Maximum number of requests in flight at this daemon; further requests wait in the queue.
    #[serde(default = "defaults::default_u64::<u32, 512>")]
    pub streams: u32,
}
impl ::std::convert::From<&LimitSettings> for LimitSettings {
    fn from(value: &LimitSettings) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for LimitSettings {
    fn default() -> Self {
        Self {
            answer_bytes: defaults::default_u64::<u64, 33554432>(),
            body_bytes: defaults::default_u64::<u64, 4194304>(),
            claim_retain_ms: defaults::default_u64::<u64, 3600000>(),
            connections: defaults::default_u64::<u32, 4096>(),
            header_ms: defaults::default_u64::<u64, 10000>(),
            idle_ms: defaults::default_u64::<u64, 60000>(),
            kept_answer_bytes: defaults::default_u64::<u64, 65536>(),
            loads: defaults::default_u64::<u32, 4>(),
            memory_mb: defaults::default_u64::<u32, 256>(),
            queue: defaults::default_u64::<u32, 1024>(),
            streams: defaults::default_u64::<u32, 512>(),
        }
    }
}
///Load a model as one member of a replica.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadOrder {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    pub group: GroupName,
    pub members: ::std::vec::Vec<NodeId>,
    pub model: ModelName,
    pub rank: u32,
    pub version: ::std::string::String,
}
impl ::std::convert::From<&LoadOrder> for LoadOrder {
    fn from(value: &LoadOrder) -> Self {
        value.clone()
    }
}
///One entry of a replicated log.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    pub index: LogIndex,
    pub payload: EntryPayload,
    pub term: Term,
}
impl ::std::convert::From<&LogEntry> for LogEntry {
    fn from(value: &LogEntry) -> Self {
        value.clone()
    }
}
///Position in a replicated log, starting at 1.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);
impl ::std::ops::Deref for LogIndex {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<LogIndex> for u64 {
    fn from(value: LogIndex) -> Self {
        value.0
    }
}
impl ::std::convert::From<&LogIndex> for LogIndex {
    fn from(value: &LogIndex) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for LogIndex {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for LogIndex {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for LogIndex {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for LogIndex {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for LogIndex {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for LogIndex {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Messages of a replicated log.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum LogMessage {
    #[serde(rename = "vote")]
    Vote(VoteRequest),
    #[serde(rename = "vote_reply")]
    VoteReply(VoteReply),
    #[serde(rename = "append")]
    Append(AppendRequest),
    #[serde(rename = "append_reply")]
    AppendReply(AppendReply),
    #[serde(rename = "snapshot")]
    Snapshot(SnapshotRequest),
}
impl ::std::convert::From<&Self> for LogMessage {
    fn from(value: &LogMessage) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<VoteRequest> for LogMessage {
    fn from(value: VoteRequest) -> Self {
        Self::Vote(value)
    }
}
impl ::std::convert::From<VoteReply> for LogMessage {
    fn from(value: VoteReply) -> Self {
        Self::VoteReply(value)
    }
}
impl ::std::convert::From<AppendRequest> for LogMessage {
    fn from(value: AppendRequest) -> Self {
        Self::Append(value)
    }
}
impl ::std::convert::From<AppendReply> for LogMessage {
    fn from(value: AppendReply) -> Self {
        Self::AppendReply(value)
    }
}
impl ::std::convert::From<SnapshotRequest> for LogMessage {
    fn from(value: SnapshotRequest) -> Self {
        Self::Snapshot(value)
    }
}
///Replicated log that a message belongs to.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogName {
    #[serde(rename = "config")]
    Config,
    #[serde(rename = "claims")]
    Claims,
}
impl ::std::convert::From<&Self> for LogName {
    fn from(value: &LogName) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for LogName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Config => f.write_str("config"),
            Self::Claims => f.write_str("claims"),
        }
    }
}
impl ::std::str::FromStr for LogName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "config" => Ok(Self::Config),
            "claims" => Ok(Self::Claims),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LogName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State up to and including an index, which replaces the entries up to it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogSnapshot {
    ///Disks with which the voters were admitted; none for voters of logs that earlier releases wrote.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub disks: ::std::vec::Vec<VoterDisk>,
    pub index: LogIndex,
    pub state: ::std::vec::Vec<u8>,
    pub term: Term,
    pub voters: ::std::vec::Vec<DaemonId>,
}
impl ::std::convert::From<&LogSnapshot> for LogSnapshot {
    fn from(value: &LogSnapshot) -> Self {
        value.clone()
    }
}
///One daemon's view of a log and its voters.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogStatus {
    ///Why this daemon does not count as a voter of the log; absent if it counts or is no voter.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub fault: ::std::option::Option<::std::string::String>,
    ///Leader of the log, if this daemon follows one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub leader: ::std::option::Option<::std::string::String>,
    pub log: LogName,
    ///Which voters count; only the leader knows it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub quorum: ::std::option::Option<QuorumStatus>,
    ///Voters as far as this daemon knows them; one that does not vote does not follow the log of claims.
    pub voters: ::std::vec::Vec<DaemonId>,
}
impl ::std::convert::From<&LogStatus> for LogStatus {
    fn from(value: &LogStatus) -> Self {
        value.clone()
    }
}
///Settings of a gateway or a controller.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    ///IP address on which the daemon listens for other daemons and from which it connects to them and, if it is a gateway, to workers, if it differs from `ip`, as behind a relay or address translation.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub bind_ip: ::std::option::Option<::std::string::String>,
    ///IP address and port for callers; gateways only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub callers: ::std::option::Option<::std::string::String>,
    ///Keys with which daemons authenticate each other; the first is used, all are accepted.
    pub cluster_keys: ::std::vec::Vec<::std::string::String>,
    ///IP address and port for workers and operators; controllers only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub control: ::std::option::Option<::std::string::String>,
    ///Folder for durable state; controllers only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub data: ::std::option::Option<::std::string::String>,
    ///Descriptors that the process may open, if these are fewer than the limit of the operating system.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub descriptors: ::std::option::Option<u32>,
    ///True only at the first start of the system, when the seeds become the first voters.
    #[serde(default)]
    pub found: bool,
    ///Milliseconds between two registrations of a worker.
    #[serde(default = "defaults::default_u64::<u32, 1200>")]
    pub heartbeat_ms: u32,
    ///IP address under which other daemons reach this one.
    pub ip: ::std::string::String,
    ///Length in seconds of the window in which started loads of weights are counted.
    #[serde(default = "defaults::default_u64::<u32, 5>")]
    pub load_window_s: u32,
    ///Number n of controllers that may be lost at the same time, including their disks; the log has 2n + 1 voters.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub losses: u32,
    ///Memory of the machine in MB, part of which may hold what clients have sent or have not read yet.
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub memory_mb: u32,
    ///Port for traffic between daemons; the same on every node.
    pub mesh_port: u16,
    ///IP address and port on which `/metrics` serves the process's metrics; if absent, they are not served.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    ///Name of the daemon in logs.
    pub name: ::std::string::String,
    ///IP address and port for readiness checks; gateways only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub readiness: ::std::option::Option<::std::string::String>,
    ///Retries allowed per thousand requests, over all gateways.
    #[serde(default = "defaults::default_u64::<u32, 200>")]
    pub retry_permille: u32,
    ///Additional retries allowed in each window, over all gateways.
    #[serde(default = "defaults::default_u64::<u32, 100>")]
    pub retry_slack: u32,
    ///Length in seconds of the window in which retries are counted.
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub retry_window_s: u32,
    ///IP addresses of the controllers to contact first; some of them may be down. A port after the address is ignored.
    pub seeds: ::std::vec::Vec<::std::string::String>,
    ///Milliseconds from the request to stop until the process is killed; a gateway stops waiting for requests in flight shortly before.
    #[serde(default = "defaults::default_u64::<u32, 8000>")]
    pub stop_ms: u32,
    pub zone: ZoneId,
}
impl ::std::convert::From<&MemberSettings> for MemberSettings {
    fn from(value: &MemberSettings) -> Self {
        value.clone()
    }
}
///State of a worker in the replica that it belongs to.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MembershipState {
    #[serde(rename = "joining")]
    Joining,
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "open")]
    Open,
    #[serde(rename = "closing")]
    Closing,
    #[serde(rename = "broken")]
    Broken,
}
impl ::std::convert::From<&Self> for MembershipState {
    fn from(value: &MembershipState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for MembershipState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Joining => f.write_str("joining"),
            Self::Ready => f.write_str("ready"),
            Self::Open => f.write_str("open"),
            Self::Closing => f.write_str("closing"),
            Self::Broken => f.write_str("broken"),
        }
    }
}
impl ::std::str::FromStr for MembershipState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "joining" => Ok(Self::Joining),
            "ready" => Ok(Self::Ready),
            "open" => Ok(Self::Open),
            "closing" => Ok(Self::Closing),
            "broken" => Ok(Self::Broken),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MembershipState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for MembershipState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MembershipState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Name of a model, as given in requests.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ModelName(pub ::std::string::String);
impl ::std::ops::Deref for ModelName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ModelName> for ::std::string::String {
    fn from(value: ModelName) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ModelName> for ModelName {
    fn from(value: &ModelName) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for ModelName {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ModelName {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for ModelName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///One observed node; the field names are short because these objects are most of the control traffic.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeDigest {
    ///Age of the observation in milliseconds when the digest was sent.
    pub a: u32,
    pub e: Epoch,
    ///Number of requests running and queued.
    pub l: u32,
    pub n: NodeId,
    ///Owner of the node, if the node reports one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub o: ::std::option::Option<::std::string::String>,
    pub s: StartId,
    pub t: NodeState,
    ///Weights that the node holds.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub w: ::std::vec::Vec<::std::string::String>,
}
impl ::std::convert::From<&NodeDigest> for NodeDigest {
    fn from(value: &NodeDigest) -> Self {
        value.clone()
    }
}
///Name of one upstream node, unique in the deployment.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct NodeId(pub ::std::string::String);
impl ::std::ops::Deref for NodeId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<NodeId> for ::std::string::String {
    fn from(value: NodeId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&NodeId> for NodeId {
    fn from(value: &NodeId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for NodeId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for NodeId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///An order to a node.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum NodeOrder {
    #[serde(rename = "release")]
    Release,
    #[serde(rename = "drain")]
    Drain,
    #[serde(rename = "load")]
    Load(LoadOrder),
}
impl ::std::convert::From<&Self> for NodeOrder {
    fn from(value: &NodeOrder) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<LoadOrder> for NodeOrder {
    fn from(value: LoadOrder) -> Self {
        Self::Load(value)
    }
}
///Answer to a health probe.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeReport {
    pub epoch: Epoch,
    pub node: NodeId,
    ///Owner that gave the last order, if the node records it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub owner: ::std::option::Option<::std::string::String>,
    ///Requests waiting.
    #[serde(default)]
    pub queued: u32,
    ///Requests in the batch.
    #[serde(default)]
    pub running: u32,
    pub start: StartId,
    pub state: NodeState,
    ///Model and version pairs, as model@version, whose weights the node holds.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub weights: ::std::vec::Vec<::std::string::String>,
}
impl ::std::convert::From<&NodeReport> for NodeReport {
    fn from(value: &NodeReport) -> Self {
        value.clone()
    }
}
///State that a node's engine reports.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum NodeState {
    #[serde(rename = "idle")]
    Idle,
    #[serde(rename = "loading")]
    Loading,
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "failed")]
    Failed,
}
impl ::std::convert::From<&Self> for NodeState {
    fn from(value: &NodeState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for NodeState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Idle => f.write_str("idle"),
            Self::Loading => f.write_str("loading"),
            Self::Ready => f.write_str("ready"),
            Self::Draining => f.write_str("draining"),
            Self::Failed => f.write_str("failed"),
        }
    }
}
impl ::std::str::FromStr for NodeState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "idle" => Ok(Self::Idle),
            "loading" => Ok(Self::Loading),
            "ready" => Ok(Self::Ready),
            "draining" => Ok(Self::Draining),
            "failed" => Ok(Self::Failed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for NodeState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for NodeState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for NodeState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A node as this daemon sees it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    pub accelerators: u32,
    pub domain: DomainId,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub group: ::std::option::Option<::std::string::String>,
    pub labels: Labels,
    pub node: NodeId,
    pub observed: ::std::string::String,
    pub platform: ::std::string::String,
    pub revision: Revision,
    pub zone: ZoneId,
}
impl ::std::convert::From<&NodeStatus> for NodeStatus {
    fn from(value: &NodeStatus) -> Self {
        value.clone()
    }
}
///Why a node was selected or not.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeVerdict {
    pub node: NodeId,
    pub reason: ::std::string::String,
    pub taken: bool,
}
impl ::std::convert::From<&NodeVerdict> for NodeVerdict {
    fn from(value: &NodeVerdict) -> Self {
        value.clone()
    }
}
///Observations of one daemon, for daemons of the same availability zone or, limited to serving replicas, of other zones.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ObserverDigest {
    #[serde(default = "defaults::observer_digest_applied")]
    pub applied: LogIndex,
    ///Sent by a zone's authority: the replicas that each group could run in the zone.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub capacity: ::std::vec::Vec<ZoneCapacity>,
    ///Requests that crashed upstreams: new or changed records at once, the others at intervals.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashes: ::std::vec::Vec<CrashRecord>,
    ///Latest `sent` that was received from the daemon to which this digest goes.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub echo: ::std::option::Option<u64>,
    ///Nodes at whose address no process listens any more.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub gone: ::std::vec::Vec<GoneDigest>,
    ///Milliseconds between the receipt of the echoed digest and the sending of this one.
    #[serde(default)]
    pub held: u32,
    ///Hash of the set that the receiver last listed and the sender keeps; 0 means none.
    #[serde(default)]
    pub known_set: u64,
    pub nodes: ::std::vec::Vec<NodeDigest>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub replicas: ::std::vec::Vec<ReplicaDigest>,
    ///Plain services of the sender's zone that were restarted recently.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub restarted: ::std::vec::Vec<RestartDigest>,
    ///Sender's clock in milliseconds; the receiver echoes it, and only the sender compares it with its clock.
    pub sent: u64,
    #[serde(default = "defaults::observer_digest_set")]
    pub set: ReplicaSet,
    ///Number of daemons over which the demand in `use` is summed.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub speaks_for: u32,
    ///The zone's table, if the receiver's table is older.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub table: ::std::option::Option<ZoneTable>,
    #[serde(default = "defaults::observer_digest_table_term")]
    pub table_term: Term,
    #[serde(default)]
    pub table_version: u64,
    #[serde(rename = "use", default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub use_: ::std::vec::Vec<OrganisationUse>,
}
impl ::std::convert::From<&ObserverDigest> for ObserverDigest {
    fn from(value: &ObserverDigest) -> Self {
        value.clone()
    }
}
///Why an operator's call failed.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorFault {
    pub code: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub faults: ::std::vec::Vec<FieldFault>,
    pub message: ::std::string::String,
}
impl ::std::convert::From<&OperatorFault> for OperatorFault {
    fn from(value: &OperatorFault) -> Self {
        value.clone()
    }
}
///An operator, who may change the configuration.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    pub keys: ::std::vec::Vec<KeySettings>,
    pub name: ::std::string::String,
}
impl ::std::convert::From<&OperatorSettings> for OperatorSettings {
    fn from(value: &OperatorSettings) -> Self {
        value.clone()
    }
}
///Refusal of an order, with the epoch and owner that the node has recorded.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OrderRefusal {
    pub epoch: Epoch,
    pub owner: ::std::string::String,
}
impl ::std::convert::From<&OrderRefusal> for OrderRefusal {
    fn from(value: &OrderRefusal) -> Self {
        value.clone()
    }
}
///Name of an organisation whose callers share limits.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct OrganisationId(pub ::std::string::String);
impl ::std::ops::Deref for OrganisationId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<OrganisationId> for ::std::string::String {
    fn from(value: OrganisationId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&OrganisationId> for OrganisationId {
    fn from(value: &OrganisationId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for OrganisationId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for OrganisationId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for OrganisationId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///An organisation and its limits over all entry nodes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSettings {
    ///Concurrent requests over all entry nodes.
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub concurrent: u32,
    pub id: OrganisationId,
    pub keys: ::std::vec::Vec<KeySettings>,
    ///Cost units per second over all entry nodes; a request costs one unit plus one for each token that it may generate.
    #[serde(default = "defaults::default_u64::<u64, 100000>")]
    pub tokens_per_second: u64,
    ///Share of the capacity, relative to the weights of other organisations, when requests queue.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub weight: u32,
}
impl ::std::convert::From<&OrganisationSettings> for OrganisationSettings {
    fn from(value: &OrganisationSettings) -> Self {
        value.clone()
    }
}
///Recent demand of an organisation at one daemon, or summed over several.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct OrganisationUse {
    pub o: OrganisationId,
    pub r: f64,
}
impl ::std::convert::From<&OrganisationUse> for OrganisationUse {
    fn from(value: &OrganisationUse) -> Self {
        value.clone()
    }
}
///First message on a connection between daemons, sent by the daemon that accepted it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerChallenge {
    pub nonce: ::std::vec::Vec<u8>,
    pub version: u32,
}
impl ::std::convert::From<&PeerChallenge> for PeerChallenge {
    fn from(value: &PeerChallenge) -> Self {
        value.clone()
    }
}
///Messages between daemons that have authenticated each other.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub enum PeerMessage {
    #[serde(rename = "log")]
    Log { message: LogMessage, name: LogName },
    #[serde(rename = "authority")]
    Authority { message: AuthorityMessage, zone: ZoneId },
    #[serde(rename = "digest")]
    Digest(ObserverDigest),
    #[serde(rename = "call")]
    Call(ForwardCall),
    #[serde(rename = "reply")]
    Reply(ForwardReply),
    #[serde(rename = "fleet")]
    Fleet(FleetMessage),
}
impl ::std::convert::From<&Self> for PeerMessage {
    fn from(value: &PeerMessage) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ObserverDigest> for PeerMessage {
    fn from(value: ObserverDigest) -> Self {
        Self::Digest(value)
    }
}
impl ::std::convert::From<ForwardCall> for PeerMessage {
    fn from(value: ForwardCall) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<ForwardReply> for PeerMessage {
    fn from(value: ForwardReply) -> Self {
        Self::Reply(value)
    }
}
impl ::std::convert::From<FleetMessage> for PeerMessage {
    fn from(value: FleetMessage) -> Self {
        Self::Fleet(value)
    }
}
///Answer of the daemon that opened the connection: its id, and proof that it holds a cluster key.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerProof {
    pub from: DaemonId,
    pub mac: ::std::vec::Vec<u8>,
    pub nonce: ::std::vec::Vec<u8>,
    pub to: DaemonId,
    ///Service and name of the upstream to which the connection is to be a tunnel, as in `models/w1`; none for a connection that carries messages. The proof covers it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tunnel: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&PeerProof> for PeerProof {
    fn from(value: &PeerProof) -> Self {
        value.clone()
    }
}
///One entry node of the deployment.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    ///IP address and port for other daemons.
    pub address: ::std::string::String,
    ///Whether the node is reserved for control, so that it observes instead of the zone's entry nodes.
    #[serde(default)]
    pub control: bool,
    pub id: DaemonId,
    ///Region of the availability zone; its replicas are not reported to daemons of other regions.
    #[serde(default)]
    pub region: ::std::string::String,
    ///Whether the node has a disk and is a voter of the logs from the first start.
    #[serde(default)]
    pub voter: bool,
    pub zone: ZoneId,
}
impl ::std::convert::From<&PeerSettings> for PeerSettings {
    fn from(value: &PeerSettings) -> Self {
        value.clone()
    }
}
///Proof of the daemon that accepted the connection that it holds a cluster key.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerWelcome {
    pub mac: ::std::vec::Vec<u8>,
}
impl ::std::convert::From<&PeerWelcome> for PeerWelcome {
    fn from(value: &PeerWelcome) -> Self {
        value.clone()
    }
}
///Message of a daemon to the leader about upstreams that report limits.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitAsk {
    ///Limits that the leader does not seem to know.
    pub limits: ::std::vec::Vec<UpstreamLimit>,
    pub needs: ::std::vec::Vec<PermitNeed>,
}
impl ::std::convert::From<&PermitAsk> for PermitAsk {
    fn from(value: &PermitAsk) -> Self {
        value.clone()
    }
}
///Permits that the leader issues to a daemon; also sent in answer to each request for permits.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitGrant {
    ///Known limits of the upstreams that the daemon's message names.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub limits: ::std::vec::Vec<UpstreamLimit>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub terms: ::std::vec::Vec<PermitTerms>,
}
impl ::std::convert::From<&PermitGrant> for PermitGrant {
    fn from(value: &PermitGrant) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for PermitGrant {
    fn default() -> Self {
        Self {
            limits: Default::default(),
            terms: Default::default(),
        }
    }
}
///Permits that a daemon needs for one upstream; replaces the need that it sent before.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitNeed {
    pub count: u32,
    ///Milliseconds until the last of these needs expires.
    pub lifetime_ms: u32,
    ///Upstreams whose permits serve these needs as well.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub others: ::std::vec::Vec<::std::string::String>,
    ///Number of issued permits that expired unused and have not been returned before.
    pub returned: u32,
    pub upstream: ::std::string::String,
}
impl ::std::convert::From<&PermitNeed> for PermitNeed {
    fn from(value: &PermitNeed) -> Self {
        value.clone()
    }
}
///Permits that the leader issues to a daemon for one upstream.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitTerms {
    pub issued: u32,
    pub upstream: ::std::string::String,
    ///Milliseconds after which the leader can issue the next permit; none if this does not answer a request for permits, or if the upstream has no limit.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub wait_ms: ::std::option::Option<u32>,
}
impl ::std::convert::From<&PermitTerms> for PermitTerms {
    fn from(value: &PermitTerms) -> Self {
        value.clone()
    }
}
///The platform's list of nodes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    pub nodes: ::std::vec::Vec<PlatformNode>,
}
impl ::std::convert::From<&PlatformList> for PlatformList {
    fn from(value: &PlatformList) -> Self {
        value.clone()
    }
}
///One node as listed by the platform; the list may be out of date.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformNode {
    pub accelerators: u32,
    pub address: ::std::string::String,
    ///Whether the node checks the epoch of orders.
    #[serde(default = "defaults::default_bool::<true>")]
    pub checks_orders: bool,
    pub domain: DomainId,
    pub node: NodeId,
    ///Plain service that runs on this node, if it is an application worker.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<ServiceName>,
    pub state: PlatformState,
    pub zone: ZoneId,
}
impl ::std::convert::From<&PlatformNode> for PlatformNode {
    fn from(value: &PlatformNode) -> Self {
        value.clone()
    }
}
///State of a node according to the platform.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum PlatformState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for PlatformState {
    fn from(value: &PlatformState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for PlatformState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for PlatformState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PlatformState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PlatformState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PlatformState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What a gateway reports about probe requests for a content whose quarantine has ended.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ProbeReport {
    ///Hash of the gateway's id.
    pub gateway: u64,
    ///Milliseconds since a probe request was last sent; none if none was.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sent_ms: ::std::option::Option<u32>,
    ///Milliseconds since the gateway last received a request that could serve as a probe request; none if it received none.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub wanted_ms: ::std::option::Option<u32>,
}
impl ::std::convert::From<&ProbeReport> for ProbeReport {
    fn from(value: &ProbeReport) -> Self {
        value.clone()
    }
}
///Outcome of a proposal.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    #[serde(rename = "no_leader")]
    NoLeader,
    #[serde(rename = "lost")]
    Lost,
    #[serde(rename = "voters_changed")]
    VotersChanged,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "held")]
    Held,
    #[serde(rename = "config")]
    Config(ChangeOutcome),
    #[serde(rename = "claim")]
    Claim(ClaimOutcome),
}
impl ::std::convert::From<&Self> for ProposalOutcome {
    fn from(value: &ProposalOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ChangeOutcome> for ProposalOutcome {
    fn from(value: ChangeOutcome) -> Self {
        Self::Config(value)
    }
}
impl ::std::convert::From<ClaimOutcome> for ProposalOutcome {
    fn from(value: ClaimOutcome) -> Self {
        Self::Claim(value)
    }
}
///An operator's release of a request from quarantine.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRelease {
    ///Milliseconds since the release.
    pub age_ms: u32,
    pub request: ContentDigest,
}
impl ::std::convert::From<&QuarantineRelease> for QuarantineRelease {
    fn from(value: &QuarantineRelease) -> Self {
        value.clone()
    }
}
///Which voters of a log its leader counts.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuorumStatus {
    ///Voters that answer the leader and count, itself included.
    pub counted: u32,
    ///Further voters that can be lost while a majority remains.
    pub losses_borne: u32,
    ///Voters that answer and must not count, for example after the loss of a disk.
    pub uncounted: ::std::vec::Vec<DaemonId>,
}
impl ::std::convert::From<&QuorumStatus> for QuorumStatus {
    fn from(value: &QuorumStatus) -> Self {
        value.clone()
    }
}
///Number of replicas of a group that each availability zone must run; written by the log's leader.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    pub counts: ::std::collections::BTreeMap<::std::string::String, u32>,
    pub group: GroupName,
}
impl ::std::convert::From<&Quota> for Quota {
    fn from(value: &Quota) -> Self {
        value.clone()
    }
}
///One replica with recent observations of all members, for daemons that do not observe its nodes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaDigest {
    ///Age of the oldest observation of a member, in milliseconds when the digest was sent.
    pub a: u32,
    pub e: Epoch,
    pub h: NodeId,
    ///Number of requests running and queued.
    pub l: u32,
}
impl ::std::convert::From<&ReplicaDigest> for ReplicaDigest {
    fn from(value: &ReplicaDigest) -> Self {
        value.clone()
    }
}
///Replicas with recent observations of all members: listed individually once, and afterwards identified by the hash of that list.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSet {
    ///Hash over heads and epochs, in order; 0 means no set.
    pub digest: u64,
    ///Number of requests running and queued at each replica, in the order of the list.
    pub loads: ::std::vec::Vec<u16>,
    ///Age of the oldest observation of a member, in milliseconds when the digest was sent.
    pub oldest: u32,
}
impl ::std::convert::From<&ReplicaSet> for ReplicaSet {
    fn from(value: &ReplicaSet) -> Self {
        value.clone()
    }
}
///One replica as this daemon sees it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaStatus {
    pub epoch: Epoch,
    pub group: GroupName,
    #[serde(default)]
    pub in_flight: u32,
    pub members: ::std::vec::Vec<NodeId>,
    pub reason: ::std::string::String,
    ///When it was formed, in milliseconds since 1970 by the authority's clock.
    #[serde(default)]
    pub since_ms: u64,
    pub slot: u32,
    pub state: ::std::string::String,
    pub zone: ZoneId,
}
impl ::std::convert::From<&ReplicaStatus> for ReplicaStatus {
    fn from(value: &ReplicaStatus) -> Self {
        value.clone()
    }
}
///Requests per second, in thousandths.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct RequestRate(pub u64);
impl ::std::ops::Deref for RequestRate {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<RequestRate> for u64 {
    fn from(value: RequestRate) -> Self {
        value.0
    }
}
impl ::std::convert::From<&RequestRate> for RequestRate {
    fn from(value: &RequestRate) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for RequestRate {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for RequestRate {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for RequestRate {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for RequestRate {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for RequestRate {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///A node whose process was found to be another one than before.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RestartDigest {
    ///Time in milliseconds since that was found, when the digest was sent.
    pub a: u32,
    pub n: NodeId,
}
impl ::std::convert::From<&RestartDigest> for RestartDigest {
    fn from(value: &RestartDigest) -> Self {
        value.clone()
    }
}
///Log index at which an object last changed; 0 means that the object does not exist.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Revision(pub u64);
impl ::std::ops::Deref for Revision {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Revision> for u64 {
    fn from(value: Revision) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Revision> for Revision {
    fn from(value: &Revision) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for Revision {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for Revision {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for Revision {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///A path prefix served by a plain service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    ///For short repeatable requests with a safe method: milliseconds after which the request is also sent to a second upstream; no second request is sent if absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub hedge_ms: ::std::option::Option<u64>,
    ///Whether each request on this route runs at most once.
    #[serde(default)]
    pub not_repeatable: bool,
    ///Path prefix, starting with a slash.
    pub path: ::std::string::String,
    pub service: ServiceName,
    ///Timeout in milliseconds for the complete request.
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub timeout_ms: u64,
    #[serde(default = "defaults::route_settings_urgency")]
    pub urgency: Urgency,
}
impl ::std::convert::From<&RouteSettings> for RouteSettings {
    fn from(value: &RouteSettings) -> Self {
        value.clone()
    }
}
///Conditions on a node's labels, all of which must hold.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub expressions: ::std::vec::Vec<SelectorExpression>,
    #[serde(default = "defaults::selector_match_labels")]
    pub match_labels: Labels,
}
impl ::std::convert::From<&Selector> for Selector {
    fn from(value: &Selector) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for Selector {
    fn default() -> Self {
        Self {
            expressions: Default::default(),
            match_labels: defaults::selector_match_labels(),
        }
    }
}
///One condition on a label.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SelectorExpression {
    ///Label whose value is compared.
    pub key: ::std::string::String,
    pub operator: SelectorOperator,
    ///Values for `in` and `not_in`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub values: ::std::vec::Vec<::std::string::String>,
}
impl ::std::convert::From<&SelectorExpression> for SelectorExpression {
    fn from(value: &SelectorExpression) -> Self {
        value.clone()
    }
}
///How an expression compares a label.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum SelectorOperator {
    #[serde(rename = "in")]
    In,
    #[serde(rename = "not_in")]
    NotIn,
    #[serde(rename = "exists")]
    Exists,
    #[serde(rename = "not_exists")]
    NotExists,
}
impl ::std::convert::From<&Self> for SelectorOperator {
    fn from(value: &SelectorOperator) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for SelectorOperator {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::In => f.write_str("in"),
            Self::NotIn => f.write_str("not_in"),
            Self::Exists => f.write_str("exists"),
            Self::NotExists => f.write_str("not_exists"),
        }
    }
}
impl ::std::str::FromStr for SelectorOperator {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "in" => Ok(Self::In),
            "not_in" => Ok(Self::NotIn),
            "exists" => Ok(Self::Exists),
            "not_exists" => Ok(Self::NotExists),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SelectorOperator {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SelectorOperator {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SelectorOperator {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Name of a plain service behind a route.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ServiceName(pub ::std::string::String);
impl ::std::ops::Deref for ServiceName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServiceName> for ::std::string::String {
    fn from(value: ServiceName) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ServiceName> for ServiceName {
    fn from(value: &ServiceName) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for ServiceName {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ServiceName {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for ServiceName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Settings of one daemon.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    ///Keys with which daemons authenticate each other; the first is used, all are accepted.
    pub cluster_keys: ::std::vec::Vec<::std::string::String>,
    ///Folder for durable state; only voters need one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub data: ::std::option::Option<::std::string::String>,
    pub id: DaemonId,
    #[serde(default = "defaults::settings_limits")]
    pub limits: LimitSettings,
    ///IP address and port for callers.
    pub listen: ::std::string::String,
    ///Nodes that operators have assigned to hollowbarrow; orders are sent to no other node.
    #[serde(default = "defaults::settings_managed")]
    pub managed: Selector,
    ///IP address and port for operators, metrics and readiness.
    pub operator_listen: ::std::string::String,
    pub operators: ::std::vec::Vec<OperatorSettings>,
    pub organisations: ::std::vec::Vec<OrganisationSettings>,
    ///Owner name that is sent with orders to nodes.
    #[serde(default = "defaults::settings_owner")]
    pub owner: ::std::string::String,
    ///IP address and port for other daemons.
    pub peer_listen: ::std::string::String,
    ///All entry nodes, including this one.
    pub peers: ::std::vec::Vec<PeerSettings>,
    ///URL of the platform's list of nodes.
    pub platform: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<RouteSettings>,
    #[serde(default = "defaults::settings_timing")]
    pub timing: TimingSettings,
    ///File to which one line of JSON is written for each span.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub trace_file: ::std::option::Option<::std::string::String>,
    pub zone: ZoneId,
}
impl ::std::convert::From<&Settings> for Settings {
    fn from(value: &Settings) -> Self {
        value.clone()
    }
}
///A snapshot for a follower whose next entry the leader's log no longer contains.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRequest {
    ///Heartbeat round, echoed in the reply.
    pub round: u64,
    pub snapshot: LogSnapshot,
    pub term: Term,
}
impl ::std::convert::From<&SnapshotRequest> for SnapshotRequest {
    fn from(value: &SnapshotRequest) -> Self {
        value.clone()
    }
}
///Number that a process chooses anew when it starts; a different number means that the process restarted.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct StartId(pub u64);
impl ::std::ops::Deref for StartId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<StartId> for u64 {
    fn from(value: StartId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&StartId> for StartId {
    fn from(value: &StartId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for StartId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for StartId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for StartId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for StartId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for StartId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for StartId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///A complete answer, stored for callers that send the request again.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    pub body: ::std::string::String,
    pub content_type: ::std::string::String,
    pub status: u16,
}
impl ::std::convert::From<&StoredAnswer> for StoredAnswer {
    fn from(value: &StoredAnswer) -> Self {
        value.clone()
    }
}
///Election term; never decreases.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Term(pub u64);
impl ::std::ops::Deref for Term {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Term> for u64 {
    fn from(value: Term) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Term> for Term {
    fn from(value: &Term) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for Term {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for Term {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Term {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for Term {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Term {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for Term {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Times in milliseconds; the defaults suit availability zones that are close together.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    ///Lease of a zone's authority.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub authority_ms: u64,
    ///Time for which a stopping daemon continues to accept requests, until the load balancer has noticed that it is not ready.
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub balancer_ms: u64,
    ///Time between two digests to the same daemon.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub digest_ms: u64,
    ///Timeout for requests in flight when a replica or the daemon stops.
    #[serde(default = "defaults::default_u64::<u64, 120000>")]
    pub drain_ms: u64,
    ///Margin for clocks that run at different speeds, in thousandths of the lease of a zone's authority.
    #[serde(default = "defaults::default_u64::<u64, 50>")]
    pub drift_permille: u64,
    ///Time without a message from the leader after which a voter starts an election; multiplied by a random factor between 1 and 2.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub election_ms: u64,
    ///Lease of a node: time for which its report is treated as valid.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub lease_ms: u64,
    ///Timeout for a node to load, after which the replica is treated as failed.
    #[serde(default = "defaults::default_u64::<u64, 600000>")]
    pub load_ms: u64,
    ///Time between two reads of the platform's list of nodes.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub platform_ms: u64,
    ///Time between two probes of a node by one observer.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub probe_ms: u64,
}
impl ::std::convert::From<&TimingSettings> for TimingSettings {
    fn from(value: &TimingSettings) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for TimingSettings {
    fn default() -> Self {
        Self {
            authority_ms: defaults::default_u64::<u64, 2000>(),
            balancer_ms: defaults::default_u64::<u64, 5000>(),
            digest_ms: defaults::default_u64::<u64, 500>(),
            drain_ms: defaults::default_u64::<u64, 120000>(),
            drift_permille: defaults::default_u64::<u64, 50>(),
            election_ms: defaults::default_u64::<u64, 1000>(),
            lease_ms: defaults::default_u64::<u64, 2000>(),
            load_ms: defaults::default_u64::<u64, 600000>(),
            platform_ms: defaults::default_u64::<u64, 2000>(),
            probe_ms: defaults::default_u64::<u64, 500>(),
        }
    }
}
///Why a daemon carries no tunnel: it does not know the upstream, it would need a tunnel itself, it does not reach the upstream, it carries as many tunnels as it may, or it is stopping.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TunnelRefusal {
    #[serde(rename = "unknown_upstream")]
    UnknownUpstream,
    #[serde(rename = "isolated")]
    Isolated,
    #[serde(rename = "unreachable")]
    Unreachable,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "stopping")]
    Stopping,
}
impl ::std::convert::From<&Self> for TunnelRefusal {
    fn from(value: &TunnelRefusal) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for TunnelRefusal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::UnknownUpstream => f.write_str("unknown_upstream"),
            Self::Isolated => f.write_str("isolated"),
            Self::Unreachable => f.write_str("unreachable"),
            Self::Busy => f.write_str("busy"),
            Self::Stopping => f.write_str("stopping"),
        }
    }
}
impl ::std::str::FromStr for TunnelRefusal {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "unknown_upstream" => Ok(Self::UnknownUpstream),
            "isolated" => Ok(Self::Isolated),
            "unreachable" => Ok(Self::Unreachable),
            "busy" => Ok(Self::Busy),
            "stopping" => Ok(Self::Stopping),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TunnelRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TunnelRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TunnelRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Answer to the request for a tunnel, after the proofs. Without a refusal the tunnel is open: binary frames hold the bytes in both directions, a text frame announces that the daemon is stopping, and a close frame tells how the upstream's side ended.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TunnelReply {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub refusal: ::std::option::Option<TunnelRefusal>,
}
impl ::std::convert::From<&TunnelReply> for TunnelReply {
    fn from(value: &TunnelReply) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for TunnelReply {
    fn default() -> Self {
        Self {
            refusal: Default::default(),
        }
    }
}
///Latest notice of an upstream about its rate limit.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamLimit {
    ///Milliseconds since the head of that answer was received.
    pub came_ms: u32,
    ///Request rate that it accepts from all daemons together; none if it no longer reports a limit.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub limit: ::std::option::Option<RequestRate>,
    ///Milliseconds since the request was sent whose answer contained the notice.
    pub sent_ms: u32,
    ///Id of the upstream's instance.
    pub upstream: ::std::string::String,
}
impl ::std::convert::From<&UpstreamLimit> for UpstreamLimit {
    fn from(value: &UpstreamLimit) -> Self {
        value.clone()
    }
}
///Priority class of a request or group, the highest priority first.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Urgency {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "batch")]
    Batch,
}
impl ::std::convert::From<&Self> for Urgency {
    fn from(value: &Urgency) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Normal => f.write_str("normal"),
            Self::Batch => f.write_str("batch"),
        }
    }
}
impl ::std::str::FromStr for Urgency {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "batch" => Ok(Self::Batch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Answer to a vote request.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoteReply {
    ///True if the voter's log is empty.
    pub blank: bool,
    pub disk: DiskIdentity,
    ///Founders that the voter has agreed to, while its log is empty.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub founders: ::std::option::Option<Founders>,
    pub granted: bool,
    pub term: Term,
    pub trial: bool,
}
impl ::std::convert::From<&VoteReply> for VoteReply {
    fn from(value: &VoteReply) -> Self {
        value.clone()
    }
}
///Requests a vote; a trial (pre-vote) changes neither terms nor votes, unless it proposes founders.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoteRequest {
    ///From a candidate whose log is empty: the founders that it has agreed to, or only its own disk before it knows those of all voters.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub founders: ::std::option::Option<Founders>,
    ///True if the founders have agreed and this election founds the log.
    pub founding: bool,
    pub last_index: LogIndex,
    pub last_term: Term,
    pub term: Term,
    pub trial: bool,
}
impl ::std::convert::From<&VoteRequest> for VoteRequest {
    fn from(value: &VoteRequest) -> Self {
        value.clone()
    }
}
///A request to change the voters: one may be removed, one added, or both, one after the other.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoterChange {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub add: ::std::option::Option<DaemonId>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub remove: ::std::option::Option<DaemonId>,
}
impl ::std::convert::From<&VoterChange> for VoterChange {
    fn from(value: &VoterChange) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for VoterChange {
    fn default() -> Self {
        Self {
            add: Default::default(),
            remove: Default::default(),
        }
    }
}
///Disk with which a voter was admitted.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoterDisk {
    pub disk: DiskId,
    pub voter: DaemonId,
}
impl ::std::convert::From<&VoterDisk> for VoterDisk {
    fn from(value: &VoterDisk) -> Self {
        value.clone()
    }
}
///The voters of a log. A voter counts in quorums only with the disk named here.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoterSet {
    ///Disks of the voters; none for voters of logs that earlier releases wrote.
    pub disks: ::std::vec::Vec<VoterDisk>,
    pub voters: ::std::vec::Vec<DaemonId>,
}
impl ::std::convert::From<&VoterSet> for VoterSet {
    fn from(value: &VoterSet) -> Self {
        value.clone()
    }
}
///A renewed registration without changed content.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerBeat {
    ///Sequence number under which the worker's content last changed, as far as the sender knows.
    pub changed: u64,
    pub id: WorkerId,
    ///Same as in a report.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub recount: ::std::option::Option<u32>,
    pub seq: u64,
}
impl ::std::convert::From<&WorkerBeat> for WorkerBeat {
    fn from(value: &WorkerBeat) -> Self {
        value.clone()
    }
}
///Confirms that the sender holds the departure of a worker, so that it remains known if the controller that received it is lost.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerDeparture {
    ///True if the worker has deregistered; false if it has only reported that it accepts no new requests.
    pub gone: bool,
    pub worker: WorkerId,
}
impl ::std::convert::From<&WorkerDeparture> for WorkerDeparture {
    fn from(value: &WorkerDeparture) -> Self {
        value.clone()
    }
}
///Id of one instance of a registered worker: the name under which it registers and, if it reports one, its start time.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct WorkerId(pub ::std::string::String);
impl ::std::ops::Deref for WorkerId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<WorkerId> for ::std::string::String {
    fn from(value: WorkerId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&WorkerId> for WorkerId {
    fn from(value: &WorkerId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for WorkerId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for WorkerId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Requests of gateways that are in flight at a worker.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerLoad {
    pub active: u32,
    ///Milliseconds since the worker last sent a part of any answer; none if it has sent none since this daemon started.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub progress_ms: ::std::option::Option<u32>,
    ///Estimated time in milliseconds to process the prompts of requests without a first event.
    pub waiting_ms: u32,
    pub worker: WorkerId,
}
impl ::std::convert::From<&WorkerLoad> for WorkerLoad {
    fn from(value: &WorkerLoad) -> Self {
        value.clone()
    }
}
///The replica to which a worker reports that it belongs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerMembership {
    pub epoch: Epoch,
    ///Rank among the members; 0 is the head.
    pub rank: u32,
    ///Name of the replica.
    pub replica: ::std::string::String,
    pub state: MembershipState,
}
impl ::std::convert::From<&WorkerMembership> for WorkerMembership {
    fn from(value: &WorkerMembership) -> Self {
        value.clone()
    }
}
///Content of a worker's latest registration or renewal.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    ///IP address and port of its HTTP interface.
    pub address: ::std::string::String,
    ///Its fabric domain, if it belongs to one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub domain: ::std::option::Option<DomainId>,
    ///True once it has deregistered.
    pub gone: bool,
    pub id: WorkerId,
    ///True once it has reported that it accepts no new requests.
    pub leaving: bool,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub membership: ::std::option::Option<WorkerMembership>,
    ///Model whose weights it holds in memory.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub model: ::std::option::Option<ModelName>,
    ///How often a controller has accepted a regression of this name's sequence numbers or start time, after a silence of the earlier ones; none if never. Takes precedence over start time and sequence number.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub recount: ::std::option::Option<u32>,
    ///Sequence number of the call; of two reports of an instance with the same `recount`, the one with the higher number is newer.
    pub seq: u64,
    pub service: ServiceName,
    ///Number of requests that it runs concurrently.
    pub slots: u32,
    ///Models whose weights are stored on its host.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub staged: ::std::vec::Vec<ModelName>,
    pub zone: ZoneId,
}
impl ::std::convert::From<&WorkerReport> for WorkerReport {
    fn from(value: &WorkerReport) -> Self {
        value.clone()
    }
}
///Number of replicas of a group that a zone could run if the group had all free nodes, and number of those that serve.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ZoneCapacity {
    pub group: GroupName,
    pub possible: u32,
    pub serving: u32,
}
impl ::std::convert::From<&ZoneCapacity> for ZoneCapacity {
    fn from(value: &ZoneCapacity) -> Self {
        value.clone()
    }
}
///Name of an availability zone.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ZoneId(pub ::std::string::String);
impl ::std::ops::Deref for ZoneId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ZoneId> for ::std::string::String {
    fn from(value: ZoneId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&ZoneId> for ZoneId {
    fn from(value: &ZoneId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::string::String> for ZoneId {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for ZoneId {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for ZoneId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Allocations of the nodes of an availability zone to replicas.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ZoneTable {
    pub allocations: ::std::vec::Vec<Allocation>,
    pub high_epoch: Epoch,
    pub term: Term,
    ///Increases with each change; compared after the term.
    pub version: u64,
    pub zone: ZoneId,
}
impl ::std::convert::From<&ZoneTable> for ZoneTable {
    fn from(value: &ZoneTable) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn group_spec_urgency() -> super::Urgency {
        super::Urgency::Normal
    }
    pub(super) fn label_change_set() -> super::Labels {
        super::Labels([].into_iter().collect())
    }
    pub(super) fn observer_digest_applied() -> super::LogIndex {
        super::LogIndex(0_u64)
    }
    pub(super) fn observer_digest_set() -> super::ReplicaSet {
        super::ReplicaSet {
            digest: 0_u64,
            loads: vec![],
            oldest: 0_u32,
        }
    }
    pub(super) fn observer_digest_table_term() -> super::Term {
        super::Term(0_u64)
    }
    pub(super) fn route_settings_urgency() -> super::Urgency {
        super::Urgency::Normal
    }
    pub(super) fn selector_match_labels() -> super::Labels {
        super::Labels([].into_iter().collect())
    }
    pub(super) fn settings_limits() -> super::LimitSettings {
        super::LimitSettings {
            answer_bytes: 33554432_u64,
            body_bytes: 4194304_u64,
            claim_retain_ms: 3600000_u64,
            connections: 4096_u32,
            header_ms: 10000_u64,
            idle_ms: 60000_u64,
            kept_answer_bytes: 65536_u64,
            loads: 4_u32,
            memory_mb: 256_u32,
            queue: 1024_u32,
            streams: 512_u32,
        }
    }
    pub(super) fn settings_managed() -> super::Selector {
        super::Selector {
            expressions: vec![],
            match_labels: super::Labels(
                [("given".to_string(), "hollowbarrow".to_string())].into_iter().collect(),
            ),
        }
    }
    pub(super) fn settings_owner() -> ::std::string::String {
        "hollowbarrow".to_string()
    }
    pub(super) fn settings_timing() -> super::TimingSettings {
        super::TimingSettings {
            authority_ms: 2000_u64,
            balancer_ms: 5000_u64,
            digest_ms: 500_u64,
            drain_ms: 120000_u64,
            drift_permille: 50_u64,
            election_ms: 1000_u64,
            lease_ms: 2000_u64,
            load_ms: 600000_u64,
            platform_ms: 2000_u64,
            probe_ms: 500_u64,
        }
    }
}
