package ingress

import "net/http"

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
