package ingress

import (
	"net/http"
	"slices"
	"time"

	"eiderfold/link"
)

// status returns the status of a finished request's answer.
func (f *replayRequest) status(ok bool) int {
	switch {
	case ok:
		return http.StatusOK
	case f.runs == 0:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// shortestWait returns the shortest wait at the open gates of a service, as a node knows it that gets
// each gate's room at once; 0 if one of them has a free slot.
func (p *replay) shortestWait(service string) (time.Duration, bool) {
	var waits []time.Duration
	for _, g := range p.gates {
		switch status := g.admission.Status(); {
		case g.service != service || status.Mode != link.ModeOpen:
		case g.admission.Saturated():
			waits = append(waits, status.MeanResponseTime*time.Duration(len(g.queued)+1)/time.Duration(g.slots))
		default:
			return 0, true
		}
	}
	if len(waits) == 0 {
		return 0, false
	}
	return slices.Min(waits), true
}
