// Package operator defines the requests of operators to the control plane and its responses, and a client
// that finds the leader and retries safely.
package operator

import (
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/quarantine"
)

// Paths of the requests. A version number replaces {version}.
const (
	PathVersions     = "/v1/versions"
	PathPublications = "/v1/publications"
	PathStatus       = "/v1/status"
	PathNodes        = "/v1/nodes"
	PathDiff         = "/v1/diff"
	PathSuspects     = "/v1/suspects"
	PathZones        = "/v1/zones"
	PathTenants      = "/v1/tenants"
	// PathEvacuations is followed by the name of a zone.
	PathEvacuations = "/v1/evacuations/"
)

// CreateRequest creates a version. Exactly one of TOML, Source and FromVersion is set.
type CreateRequest struct {
	OperationID string `json:"operation_id"`
	// ExpectedHead, if set, must be the number of the newest version, or the request is rejected.
	ExpectedHead *uint64 `json:"expected_head,omitempty"`
	// TOML is the text of a bundle file, FileName its name for error messages.
	TOML     string `json:"toml,omitempty"`
	FileName string `json:"file_name,omitempty"`
	// Source is the name of a bundle at the configuration source.
	Source string `json:"source,omitempty"`
	// FromVersion is the earlier version whose content is copied.
	FromVersion uint64 `json:"from_version,omitempty"`
	// HandBack, if set, replaces the content's HandBack, which sends the calls of each route that has a
	// HandBackService to that service.
	HandBack *bool `json:"hand_back,omitempty"`
}

// PublishRequest creates, approves and rolls a version in one step, if the settings allow that. It is
// idempotent.
type PublishRequest struct {
	// Base is the version that it builds on, zero for none; Version is its own number.
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// TOML is the text of a bundle file, FileName its name for error messages.
	TOML     string `json:"toml"`
	FileName string `json:"file_name,omitempty"`
}

// ApproveRequest approves a version.
type ApproveRequest struct {
	OperationID string          `json:"operation_id"`
	Approval    bundle.Approval `json:"approval"`
}

// RollRequest makes a version the active one.
type RollRequest struct {
	OperationID string `json:"operation_id"`
}

// VersionSummary describes one version in a VersionList.
type VersionSummary struct {
	Manifest bundle.Manifest `json:"manifest"`
	Status   catalog.Status  `json:"status"`
	KeyID    string          `json:"key_id,omitempty"`
	// HandBack is the HandBack of the version's bundle.Content, false once the content is no longer stored.
	HandBack       bool  `json:"hand_back,omitempty"`
	CreatedMillis  int64 `json:"created_millis"`
	ApprovedMillis int64 `json:"approved_millis,omitempty"`
	RolledMillis   int64 `json:"rolled_millis,omitempty"`
}

// VersionList is the response to a request for all versions, newest first.
type VersionList struct {
	// Head is the number of the newest version, Active that of the version that nodes use; zero for none.
	Head     uint64           `json:"head"`
	Active   uint64           `json:"active"`
	Versions []VersionSummary `json:"versions"`
}

// ReplicaStatus describes one control replica as the leader sees it. Match is the highest log index known to
// be durable on it.
type ReplicaStatus struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Match   uint64 `json:"match"`
	Alive   bool   `json:"alive"`
}

// Status describes the control plane as its leader knows it.
type Status struct {
	Cluster string `json:"cluster"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	// DurableCopies is the number of voters, out of Voters, that store all committed entries.
	DurableCopies int `json:"durable_copies"`
	Voters        int `json:"voters"`
	// Head is the number of the newest version, Active that of the version that nodes use, Staged that of an
	// approved version that may become active next; zero for none.
	Head   uint64 `json:"head"`
	Active uint64 `json:"active"`
	Staged uint64 `json:"staged"`
	// Revision is the number of changes of the distributed state.
	Revision uint64          `json:"revision"`
	LogBytes int64           `json:"log_bytes"`
	Replicas []ReplicaStatus `json:"replicas"`
	// PlatformError is the error of the latest read of the platform's machine list (package machinelist), empty
	// if it succeeded.
	PlatformError string `json:"platform_error,omitempty"`
}

// Suspect describes a request that was in flight at back ends when they crashed.
type Suspect struct {
	// Fingerprint is the shortened hash that identifies the request, as in logs.
	Fingerprint string `json:"fingerprint"`
	// Standing is the state of the request: nodes reject it if quarantined, and observe it if watched.
	// Otherwise it isn't on their watchlist.
	Standing string `json:"standing"`
	// Ends are the crashes while the request was in flight, newest last. Those with Void set don't count,
	// because a back end responded later or a trial after a quarantine began.
	Ends []quarantine.End `json:"ends"`
	// Terms is how often a quarantine of the request has expired.
	Terms int `json:"terms"`
}

// SuspectList is the response to a request for all suspects.
type SuspectList struct {
	Suspects []Suspect `json:"suspects"`
}

// Node describes one node by the latest report that a control replica received.
type Node struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Zone  string `json:"zone"`
	// Active and Staged are the numbers of the versions that the node holds, zero for none; Revision is that
	// of its state.
	Active    uint64 `json:"active"`
	Staged    uint64 `json:"staged"`
	Revision  uint64 `json:"revision"`
	Connected bool   `json:"connected"`
	// HeardMillis is the time of the report in Unix milliseconds.
	HeardMillis int64 `json:"heard_millis"`
	// Closed is the state of the node's gate, set only while orders keep it closed.
	Closed *ClosedGate `json:"closed,omitempty"`
}

// ClosedGate describes a gate that admits no new calls.
type ClosedGate struct {
	Reason string `json:"reason"`
	// Running is the number of calls still in flight at the back end.
	Running int `json:"running"`
}

// Zone describes one zone as the leader knows it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	// Evacuated is set while the zone's back ends receive no new calls. EvacuatedMillis is the time of the
	// order in Unix milliseconds, by the clock of the replica that received it.
	Evacuated       bool  `json:"evacuated"`
	EvacuatedMillis int64 `json:"evacuated_millis,omitempty"`
	// Backends counts the live back ends, also of an evacuated zone; Leaving counts the leaving ones.
	Backends int `json:"backends"`
	Leaving  int `json:"leaving"`
}

// ZoneList is the response to a request for all zones, sorted by name.
type ZoneList struct {
	Zones []Zone `json:"zones"`
}

// Tenant describes one tenant as the leader knows it.
type Tenant struct {
	Name string `json:"name"`
	// Keys is the number of the tenant's keys.
	Keys int `json:"keys"`
	// Rate, in calls per second, and Burst are the tenant's limit. A rate of zero is unlimited.
	Rate     float64  `json:"rate"`
	Burst    float64  `json:"burst"`
	Priority int      `json:"priority"`
	Regions  []string `json:"regions,omitempty"`
	// Asked is the recent rate of calls per second at all nodes, including rejected ones; Used is the number
	// of calls admitted during the last window.
	Asked float64 `json:"asked"`
	Used  float64 `json:"used"`
	// Limited is set while nodes enforce Allotted, in calls per second.
	Limited  bool    `json:"limited"`
	Allotted float64 `json:"allotted"`
}

// TenantList is the response to a request for all tenants, sorted by use in descending order.
type TenantList struct {
	// Leader is the name of the replica that allocates to Nodes nodes, by their use during Window.
	Leader  string        `json:"leader"`
	Nodes   int           `json:"nodes"`
	Window  time.Duration `json:"window"`
	Tenants []Tenant      `json:"tenants"`
}

// OrderResult is the response to an order that was committed.
type OrderResult struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	Revision  uint64 `json:"revision"`
}

// Change is one difference between two contents. Secrets appear as digests.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action string `json:"action"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}
