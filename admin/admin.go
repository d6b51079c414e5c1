// Package admin implements the admin API: it publishes templates and client accounts
// to the store and shows what is in force.
//
// # Usage
//
//	s := admin.New(node, store, settings.Teams(), logger)
//	http.ListenAndServe("127.0.0.1:8081", s.Handler())
//
// A change is one compare-and-swap of a store value. It carries a publish id, so that
// a change whose response was lost is found again and never applied twice.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"eiderfold/config"
	adminapi "eiderfold/gen/admin"
	"eiderfold/gen/http/admin/server"
	"eiderfold/node"
	"eiderfold/port"
	"eiderfold/result"
	"eiderfold/settings"
)

// Service implements the generated admin service.
type Service struct {
	node  *node.Node
	store port.Store
	teams []settings.Team
	log   *zap.Logger
}

// New returns the admin service of a node.
func New(n *node.Node, store port.Store, teams []settings.Team, log *zap.Logger) *Service {
	return &Service{node: n, store: store, teams: teams, log: log.Named("audit")}
}

// Handler returns the HTTP handler of the API, and of the metrics under /metrics.
func (s *Service) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := adminapi.NewEndpoints(s)
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	mux.Handle(http.MethodGet, "/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.node.Metrics().String())) // The client may have disconnected.
	})
	return mux
}

type teamKey struct{}

// APIKeyAuth implements the generated Auther. It adds the team of the token to the
// context.
func (s *Service) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	token := strings.TrimPrefix(key, "Bearer ")
	for i := range s.teams {
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.teams[i].Token)) == 1 {
			return context.WithValue(ctx, teamKey{}, &s.teams[i]), nil
		}
	}
	return ctx, fault(result.Forbidden, "the token belongs to no team")
}

// teamOf returns the team that APIKeyAuth added to the context, or nil.
func teamOf(ctx context.Context) *settings.Team {
	t, _ := ctx.Value(teamKey{}).(*settings.Team)
	return t
}

// authorizeChange returns an error if the team of the request may not change the
// template.
func authorizeChange(ctx context.Context, template string) error {
	t := teamOf(ctx)
	if t == nil || t.ReadOnly {
		return fault(result.Forbidden, "the token may not change anything")
	}
	if slices.Contains(t.Templates, "*") || slices.Contains(t.Templates, template) {
		return nil
	}
	return fault(result.Forbidden, "team "+t.Name+" may not change template "+template)
}

var faultNames = map[result.Code]string{
	result.Invalid:          "invalid",
	result.Conflict:         "conflict",
	result.Forbidden:        "forbidden",
	result.Missing:          "missing",
	result.StoreUnavailable: "unavailable",
	result.ChangeUnknown:    "unavailable",
}

func fault(c result.Code, message string) *adminapi.Fault {
	return &adminapi.Fault{Name: faultNames[c], Code: int(c), Message: message}
}

// storeFault returns the API error for an error of the store.
func storeFault(err error) error {
	switch {
	case errors.Is(err, port.ErrMissing):
		return fault(result.Missing, "there is no such value")
	case errors.Is(err, port.ErrUnknown):
		return fault(result.ChangeUnknown, "the store's answer was lost; publish again with the same publish id")
	default:
		return fault(result.StoreUnavailable, err.Error())
	}
}

func revision(template, account, key string, c config.Change) *adminapi.Revision {
	r := &adminapi.Revision{Template: template, Sequence: c.Sequence, PublishID: c.PublishID, Publisher: c.Publisher, Shard: key}
	if account != "" {
		r.Account = &account
	}
	return r
}
