package traffic

import "bytes"

// Call is a kind of traffic.
type Call int

// The kinds of traffic. Other holds Twirp calls that are not listed, and API the HTTP calls of operators and
// servers to coordinators.
const (
	Other Call = iota
	API
	DirectoryWatch
	ConfigurationWatch
	Directory
	Configuration
	Replication
	Snapshots
	Membership
	JobSubmissions
	JobReads
	JobLookups
	JobMoves
	TokenLimits
	TenantRates
	Quarantine
	ZoneDrains
	LoadDigests
	ServerRequests
	callCount
)

// callNames are the values of the metric label.
var callNames = [callCount]string{
	"other", "api", "directory_watch", "configuration_watch", "directory", "configuration", "replication", "snapshots",
	"membership", "job_submissions", "job_reads", "job_lookups", "job_moves", "token_limits", "tenant_rates", "quarantine",
	"zone_drains", "load_digests", "server_requests",
}

// String returns the name used for metric labels.
func (c Call) String() string { return callNames[c] }

// twirpPrefix begins the path of each Twirp call between the site's processes.
const twirpPrefix = "/twirp/rockwind.v1."

// callsByMethod maps Twirp methods to kinds.
var callsByMethod = map[string]Call{
	"DirectoryService/Watch":            DirectoryWatch,
	"DirectoryService/Report":           Directory,
	"DirectoryService/Leave":            Directory,
	"DirectoryService/Announce":         Directory,
	"DirectoryService/Note":             Directory,
	"DirectoryService/Change":           Directory,
	"DirectoryService/Retire":           Directory,
	"ConfigurationService/Watch":        ConfigurationWatch,
	"ConfigurationService/Get":          Configuration,
	"ConfigurationService/Apply":        Configuration,
	"ReplicaService/Send":               Replication,
	"ReplicaService/SendSnapshot":       Snapshots,
	"ReplicaService/Identity":           Membership,
	"ReplicaService/Found":              Membership,
	"ReplicaService/Join":               Membership,
	"ReplicaService/TransferLeadership": Membership,
	"JobStoreService/Submit":            JobSubmissions,
	"JobStoreService/Read":              JobReads,
	"JobStoreService/ReadBody":          JobReads,
	"JobStoreService/End":               JobReads,
	"JobStoreService/Find":              JobLookups,
	"JobMoveService/Take":               JobMoves,
	"JobMoveService/Finish":             JobMoves,
	"JobMoveService/FeatureLevel":       JobMoves,
	"TokenLimitService/Reserve":         TokenLimits,
	"TokenLimitService/Report":          TokenLimits,
	"RequestRateService/Take":           TenantRates,
	"QuarantineService/Report":          Quarantine,
	"QuarantineService/List":            Quarantine,
	"QuarantineService/Release":         Quarantine,
	"QuarantineService/ClaimTrial":      Quarantine,
	"QuarantineService/ShareUnreported": Quarantine,
	"ZoneDrainService/Start":            ZoneDrains,
	"ZoneDrainService/End":              ZoneDrains,
	"ZoneDrainService/List":             ZoneDrains,
	"ZoneDrainService/IssuePermit":      ZoneDrains,
	"ColdServerService/Report":          Directory,
}

// maxRequestLine is the number of bytes of a request line that classify examines. Those of Twirp calls are shorter.
const maxRequestLine = 96

// classify returns the kind of the call that starts with the given bytes. It returns false if they are not the
// start of a request, or if more bytes are needed. It does not allocate.
func classify(start []byte) (Call, bool) {
	space := bytes.IndexByte(start, ' ')
	if space <= 0 || space+1 >= len(start) || start[space+1] != '/' || !isMethod(start[:space]) {
		return Other, false
	}
	path := start[space+1:]
	end := bytes.IndexAny(path, " ?")
	if end < 0 {
		if len(start) < maxRequestLine {
			return Other, false
		}
		end = len(path)
	}
	method, found := bytes.CutPrefix(path[:end], []byte(twirpPrefix))
	if !found {
		return API, true
	}
	return callsByMethod[string(method)], true
}

// isMethod reports whether a word consists of capital letters, as HTTP methods do.
func isMethod(word []byte) bool {
	for _, letter := range word {
		if letter < 'A' || letter > 'Z' {
			return false
		}
	}
	return true
}
