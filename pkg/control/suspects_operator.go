package control

import (
	"context"
	"net/http"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/quarantine"
)

func (s *Server) handleSuspects(w http.ResponseWriter, r *http.Request) {
	list := operator.SuspectList{Suspects: []operator.Suspect{}}
	err := s.readWithLease(r.Context(), func(time.Duration) {
		for _, suspect := range s.replica.State().Suspects.All() {
			list.Suspects = append(list.Suspects, operator.Suspect{
				Fingerprint: suspect.Request.Short(), Standing: suspect.Standing().String(), Ends: suspect.Ends, Terms: suspect.Terms,
			})
		}
	})
	writeResponse(w, list, err)
}

func (s *Server) handleLift(w http.ResponseWriter, r *http.Request) {
	result, err := s.liftQuarantine(r.Context(), r.PathValue("fingerprint"))
	writeResponse(w, result, err)
}

// liftQuarantine lifts the quarantine of the request with a fingerprint.
func (s *Server) liftQuarantine(ctx context.Context, fingerprint string) (catalog.Result, error) {
	var verdicts []quarantine.Verdict
	decides := false
	err := s.readWithLease(ctx, func(now time.Duration) {
		decides = s.canDecideSuspects(now)
		for _, suspect := range s.replica.State().Suspects.All() {
			if suspect.Quarantined && suspect.Request.Short() == fingerprint {
				verdicts = append(verdicts, quarantine.Verdict{Request: suspect.Request, Ruling: quarantine.Lift})
			}
		}
	})
	if err != nil {
		return catalog.Result{}, err
	}
	if !decides {
		return catalog.Result{}, newOperationError(catalog.CodeUnavailable, "a replica of an earlier program is a member: it does not know suspects")
	}
	if len(verdicts) == 0 {
		return catalog.Result{}, newOperationError(catalog.CodeUnknownSuspect, "no request with fingerprint %q is in quarantine", fingerprint)
	}
	return s.proposeSuspects(ctx, quarantine.Change{Verdicts: verdicts})
}
