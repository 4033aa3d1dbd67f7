package gate

import (
	"net/http"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"
)

// matchQuarantine returns what is known of a call's request. It is called for every call, so it
// returns early in the usual case of no suspects.
func (g *Gate) matchQuarantine(r *http.Request, body *exchange.Body, adm admission) quarantine.Match {
	if g.config.Quarantine.Empty() {
		return quarantine.Match{}
	}
	return g.config.Quarantine.Lookup(r, body.Data(), g.callerAndService(r, adm))
}

// callerAndService returns the caller and the service of a call to the back end.
func (g *Gate) callerAndService(r *http.Request, adm admission) quarantine.Way {
	return quarantine.Way{Caller: r.Header.Get(g.config.Headers.Caller), Service: adm.backend.Service}
}

// quarantined reports whether a call must not reach the back end, and records the match in call.
// Callers' nodes check too; this check covers suspects found while the call waited, and nodes with
// older state.
func (g *Gate) quarantined(r *http.Request, body *exchange.Body, adm admission, call *Call) bool {
	match := g.matchQuarantine(r, body, adm)
	call.Watched = match.Standing == quarantine.Watched
	if match.Standing != quarantine.Quarantined {
		return false
	}
	call.Reason, call.Fingerprint = exchange.ReasonQuarantined, match.Request
	return true
}

// reportCrash reports that the back end crashed during a call. The fingerprint is computed only
// here, so that successful calls do not pay for it.
func (g *Gate) reportCrash(r *http.Request, body *exchange.Body, adm admission, call *Call) {
	call.Reason, call.Fingerprint = exchange.ReasonCrashed, quarantine.FingerprintOf(r, body.Data())
	if g.config.OnCrash == nil {
		return
	}
	g.config.OnCrash(quarantine.End{Request: call.Fingerprint, Instance: quarantine.InstanceKey(adm.backend.ID, adm.backend.Incarnation), Way: g.callerAndService(r, adm), Watched: call.Watched})
}

// reportResponse reports that the back end responded to a watched request.
func (g *Gate) reportResponse(r *http.Request, body *exchange.Body, adm admission, status int) {
	if g.config.OnSuspectResponse == nil || !exchange.ProvesCompletion(status) {
		return
	}
	match := g.matchQuarantine(r, body, adm)
	if match.Standing == quarantine.Unsuspected || match.Answered {
		return
	}
	g.config.OnSuspectResponse(quarantine.Answer{Request: match.Request, Way: g.callerAndService(r, adm)})
}
