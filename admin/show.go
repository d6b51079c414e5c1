package admin

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"eiderfold/config"
	adminapi "eiderfold/gen/admin"
	"eiderfold/result"
)

// ListTemplates implements the generated service. It returns the current version of each
// template in the store.
func (s *Service) ListTemplates(ctx context.Context, _ *adminapi.ListTemplatesPayload) ([]*adminapi.Revision, error) {
	keys, err := s.store.Keys(ctx, config.Prefix)
	if err != nil {
		return nil, storeFault(err)
	}
	var found []*adminapi.Revision
	for _, key := range keys {
		place, err := config.ParseKey(key)
		if err != nil || !place.IsTemplate {
			continue
		}
		_, shard, err := s.read(ctx, key)
		if err != nil {
			return nil, err
		}
		if version, ok := shard.Current(); ok {
			found = append(found, revision(place.Template, "", key, version.Change))
		}
	}
	return found, nil
}

// ShowTemplate implements the generated service. It returns the current version.
func (s *Service) ShowTemplate(ctx context.Context, p *adminapi.ShowTemplatePayload) (*adminapi.Document, error) {
	all, err := s.TemplateHistory(ctx, &adminapi.TemplateHistoryPayload{Template: p.Template})
	if err != nil {
		return nil, err
	}
	return all[0], nil // The newest version comes first.
}

// TemplateHistory implements the generated service. It returns the stored versions, newest
// first.
func (s *Service) TemplateHistory(ctx context.Context, p *adminapi.TemplateHistoryPayload) ([]*adminapi.Document, error) {
	key := config.TemplateKey(p.Template)
	_, shard, err := s.read(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(shard.Versions) == 0 {
		return nil, fault(result.Missing, "there is no template "+p.Template)
	}
	found := make([]*adminapi.Document, 0, len(shard.Versions))
	for _, v := range shard.Versions {
		found = append(found, &adminapi.Document{Revision: revision(p.Template, "", key, v.Change), Source: v.Source})
	}
	return found, nil
}

// ShowAccount implements the generated service. The source is the account's parameters in YAML.
func (s *Service) ShowAccount(ctx context.Context, p *adminapi.ShowAccountPayload) (*adminapi.Document, error) {
	key := config.AccountKey(p.Template, p.Account)
	_, shard, err := s.read(ctx, key)
	if err != nil {
		return nil, err
	}
	a, ok := shard.Accounts[p.Account]
	if !ok {
		return nil, fault(result.Missing, "there is no account "+p.Account)
	}
	source, err := yaml.Marshal(a.Parameters)
	if err != nil {
		return nil, fault(result.Invalid, err.Error())
	}
	return &adminapi.Document{Revision: revision(p.Template, p.Account, key, a.Change), Source: string(source)}, nil
}

// ListAccounts implements the generated service. The accounts are sorted by name.
func (s *Service) ListAccounts(ctx context.Context, p *adminapi.ListAccountsPayload) ([]*adminapi.Revision, error) {
	var found []*adminapi.Revision
	for _, key := range config.AccountKeys(p.Template) {
		_, shard, err := s.read(ctx, key)
		if err != nil {
			return nil, err
		}
		for _, name := range slices.Sorted(maps.Keys(shard.Accounts)) {
			found = append(found, revision(p.Template, name, key, shard.Accounts[name].Change))
		}
	}
	slices.SortFunc(found, func(a, b *adminapi.Revision) int { return strings.Compare(*a.Account, *b.Account) })
	return found, nil
}

// Status implements the generated service. It returns an entry for each shard of each reachable
// node, and one without a shard for each other node, whose sequences are unknown.
func (s *Service) Status(ctx context.Context, _ *adminapi.StatusPayload) ([]*adminapi.ShardState, error) {
	var found []*adminapi.ShardState
	for _, n := range s.node.Fleet(ctx) {
		for _, shard := range slices.Sorted(maps.Keys(n.Sequences)) {
			found = append(found, &adminapi.ShardState{Node: n.Node, Shard: shard, Sequence: n.Sequences[shard], Reachable: true})
		}
		if !n.Reachable {
			found = append(found, &adminapi.ShardState{Node: n.Node})
		}
	}
	return found, nil
}

// Dump implements the generated service. It returns the state of this node.
func (s *Service) Dump(context.Context, *adminapi.DumpPayload) (any, error) {
	return s.node.Dump(), nil
}
