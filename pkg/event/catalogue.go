package event

import "github.com/apex/log"

// Events of the node's life cycle, 1000 to 1099.
var (
	NodeStarting   = Event{1001, log.InfoLevel, "node starting"}
	NodeServing    = Event{1002, log.InfoLevel, "node serving"}
	NodeDraining   = Event{1003, log.InfoLevel, "node draining"}
	NodeStopped    = Event{1004, log.InfoLevel, "node stopped"}
	NodeFailed     = Event{1005, log.ErrorLevel, "node failed"}
	HandlerPanic   = Event{1006, log.ErrorLevel, "request handler panicked"}
	ProcessStalled = Event{1007, log.WarnLevel, "process was not running for a while"}
)

// Events of the configuration, 1100 to 1199.
var (
	ConfigInstalled  = Event{1101, log.InfoLevel, "configuration installed"}
	LogUnreachable   = Event{1102, log.WarnLevel, "platform log unreachable"}
	LogReachable     = Event{1103, log.InfoLevel, "platform log reachable again"}
	RecordInvalid    = Event{1104, log.WarnLevel, "log record ignored"}
	CheckpointFailed = Event{1105, log.WarnLevel, "checkpoint not written"}
	LogReset         = Event{1106, log.ErrorLevel, "platform log ends before the applied offset"}
	LogGap           = Event{1107, log.WarnLevel, "platform log no longer keeps the next record"}
	LogReplaced      = Event{1108, log.WarnLevel, "platform log was restored from an earlier copy"}

	ConfigBoundTooShort = Event{1109, log.WarnLevel, "bound of the configuration is too short"}
	ConfigRestricted    = Event{1110, log.WarnLevel, "entries of the configuration are in force in a stricter form"}
)

// Events of the membership, 1200 to 1299.
var (
	MemberJoined   = Event{1201, log.InfoLevel, "member joined"}
	MemberSuspect  = Event{1202, log.WarnLevel, "member suspect"}
	MemberDead     = Event{1203, log.WarnLevel, "member dead"}
	MemberLeft     = Event{1204, log.InfoLevel, "member left"}
	MemberReplaced = Event{1205, log.InfoLevel, "member replaced by a new incarnation"}
	MemberAltered  = Event{1206, log.InfoLevel, "member or its upstream changed state"}
)

// Events of the sidecar, 1300 to 1399.
var (
	UpstreamAnnounced = Event{1301, log.InfoLevel, "upstream announced"}
	UpstreamReady     = Event{1302, log.InfoLevel, "upstream ready"}
	UpstreamDraining  = Event{1303, log.InfoLevel, "upstream draining"}
	UpstreamLapsed    = Event{1304, log.WarnLevel, "upstream lease expired"}
	UpstreamCrashed   = Event{1305, log.ErrorLevel, "upstream crashed with requests in flight"}
	RequestBlocked    = Event{1306, log.ErrorLevel, "request blocked after crashing upstreams"}
	RequestCleared    = Event{1307, log.InfoLevel, "suspect request cleared"}
	UpstreamDown      = Event{1308, log.WarnLevel, "upstream takes no connections"}
	UpstreamUp        = Event{1309, log.InfoLevel, "upstream takes connections again"}
	UpstreamCold      = Event{1310, log.InfoLevel, "upstream is cold"}
	UpstreamWarm      = Event{1311, log.InfoLevel, "upstream is warm"}
)

// Events of requests, 1400 to 1499.
var (
	RequestEnded       = Event{1401, log.InfoLevel, "request answered"}
	RequestFailed      = Event{1402, log.WarnLevel, "request refused or failed"}
	RequestRejected    = Event{1403, log.WarnLevel, "request rejected"}
	AnswerNotDelivered = Event{1404, log.WarnLevel, "answer not delivered"}
	LinesDropped       = Event{1405, log.WarnLevel, "log lines dropped"}
	CallerDisconnected = Event{1406, log.WarnLevel, "connection closed before the answer"}
	ConnectionsClosed  = Event{1410, log.WarnLevel, "connections closed beyond the limits"}
	QuotaExceeded      = Event{1407, log.InfoLevel, "request beyond the limit of its organisation"}

	RequestAheadCancelled = Event{1411, log.InfoLevel, "request started ahead cancelled"}
	StalledBodies         = Event{1412, log.WarnLevel, "requests with stalled bodies ended"}
	OwnResponseDuringStop = Event{1413, log.WarnLevel, "request that may have run got a response of a stopping node"}
)

// Events of the announcements and of the mesh, 1500 to 1599.
var (
	AnnouncementStale   = Event{1501, log.InfoLevel, "late announcement ignored"}
	AnnouncementInvalid = Event{1502, log.WarnLevel, "invalid announcement refused"}
	StatusInvalid       = Event{1503, log.WarnLevel, "status of another node not readable"}
	ConfigFromPeer      = Event{1504, log.InfoLevel, "configuration taken from another node"}
	ConfigInvalid       = Event{1505, log.WarnLevel, "configuration refused"}
	NodeRegistered      = Event{1506, log.InfoLevel, "node registered in the platform's store"}
	ProbeFailed         = Event{1507, log.InfoLevel, "upstream probe failed"}
	SettingsReloaded    = Event{1508, log.InfoLevel, "settings reloaded"}
	SettingsInvalid     = Event{1509, log.WarnLevel, "changed settings refused"}
	ReadinessChanged    = Event{1510, log.InfoLevel, "readiness changed"}
	MemberForgotten     = Event{1511, log.InfoLevel, "unresponsive member removed"}
	DepartureNotStored  = Event{1512, log.WarnLevel, "departure not acknowledged"}
	StoreReadTakenOver  = Event{1513, log.WarnLevel, "store read in place of its readers"}

	DomainEvacuated    = Event{1520, log.WarnLevel, "failure domain evacuated"}
	DomainReturned     = Event{1521, log.InfoLevel, "failure domain taken back"}
	EvacuationsUnknown = Event{1522, log.WarnLevel, "upstream used without knowing the evacuated failure domains"}
)

// Events of organisations, 1600 to 1699.
var (
	OrganisationMetered = Event{1601, log.InfoLevel, "organisation metered"}
	OrganisationOpen    = Event{1602, log.InfoLevel, "organisation open again"}
)

// Events of the tools, 1900 to 1999.
var (
	FaultInjected = Event{1901, log.InfoLevel, "fault injected"}
)
