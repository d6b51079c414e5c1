package gate

import (
	"net/http"
	"time"

	"eiderfold/link"
	"eiderfold/port"
)

// statement is what an answer says of the upstream itself. The zero statement says nothing.
type statement struct {
	port.Statement
	at time.Time // When the answer's header was read.
}

// statementOf returns what an answer says of the upstream. An answer of another incarnation, or
// one that names no request, says nothing.
func statementOf(a *answer, meta port.ResponseMetadata) statement {
	if a.status == http.StatusMisdirectedRequest || meta.Attempt == "" && !meta.NotRun {
		return statement{}
	}
	said := statement{Statement: meta.Statement, at: a.readAt}
	said.Limit = meta.KnownLimit()
	return said
}

// noteStatement passes on what the upstream said in its answer or refusal.
func (g *Gate) noteStatement(upstream port.Incarnation, a *answer, f *failure) {
	var said statement
	switch {
	case a != nil:
		said = a.said
	case f != nil:
		said = f.said
	}
	if said.Load.Malformed {
		g.noteMalformedLoad(said.at, upstream)
	}
	if !said.at.IsZero() {
		g.update(said.message(upstream))
	}
}

// message returns the statement of an incarnation for the admission.
func (s statement) message(upstream port.Incarnation) Stated {
	return Stated{At: time.Now(), HeardAt: s.at, Upstream: upstream, Statement: s.Statement}
}

// noteNamedLimit uses what the sender of an offer knows of the upstream's limit. A process that
// replaced another one has not heard it yet.
func (g *Gate) noteNamedLimit(now time.Time, o *link.Offer) {
	if o.Limit == nil {
		return
	}
	upstream := port.Incarnation{ID: o.Upstream, StartedAt: o.Limit.StartedAt}
	said := port.Statement{Limit: port.NamedLimit{State: port.LimitNamed, Rate: o.Limit.Rate}}
	g.update(Stated{At: now, HeardAt: now.Add(-max(o.Limit.Age, 0)), Upstream: upstream, Statement: said})
}
