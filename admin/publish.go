package admin

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/config"
	adminapi "eiderfold/gen/admin"
	"eiderfold/port"
	"eiderfold/result"
)

const (
	maxPublishAttempts = 6
	publishBackoff     = 50 * time.Millisecond
	maxConfirmAttempts = 5
)

// editFunc applies a change to a shard and returns it with its sequence.
type editFunc func(s *config.Shard, c config.Change) (config.Change, error)

// publish applies an edit to a shard in the store, or returns the earlier change with
// the same publish id. If another operator changes the shard at the same time, the edit
// is applied again to the new value; it refuses if its base is no longer in force.
func (s *Service) publish(ctx context.Context, key, publishID string, e editFunc) (config.Change, error) {
	for attempt := range maxPublishAttempts {
		if attempt > 0 {
			time.Sleep((publishBackoff << attempt) / 2) // publishBackoff at first, then twice as long each time.
		}
		entry, shard, err := s.read(ctx, key)
		if err != nil {
			return config.Change{}, err
		}
		if done, ok := shard.Published(publishID); ok {
			return done, nil
		}
		// After the store was restored from a backup, its sequence may be lower than
		// that in force on the nodes, which would ignore the change.
		shard.Sequence = max(shard.Sequence, s.node.Holder().Snapshot().Sequences()[key])
		change := config.Change{PublishID: publishID, Publisher: teamOf(ctx).Name, At: time.Now().UTC()}
		change, err = e(shard, change)
		if err != nil {
			return config.Change{}, err
		}
		if entry.Value, err = shard.Encode(); err != nil {
			return config.Change{}, fault(result.Invalid, err.Error())
		}
		swapped, err := s.store.CompareAndSwap(ctx, entry)
		if errors.Is(err, port.ErrUnknown) {
			swapped, err = s.confirm(ctx, key, publishID)
		}
		if err != nil {
			return config.Change{}, storeFault(err)
		}
		if swapped {
			s.audit(ctx, key, change)
			s.node.ApplyPublished(key, entry.Value)
			return change, nil
		}
	}
	return config.Change{}, fault(result.Conflict, "the value keeps being changed concurrently; nothing was changed")
}

// confirm reads the shard back to find out whether a change whose response was lost
// took effect. The shard stores recent publish ids, so the change is found even after
// later ones. False means that it had not taken effect when the shard was read. It still
// can until another write replaces the version that its compare-and-swap expects, such as
// the next attempt of publish.
func (s *Service) confirm(ctx context.Context, key, publishID string) (bool, error) {
	for range maxConfirmAttempts {
		time.Sleep(publishBackoff)
		if _, shard, err := s.read(ctx, key); err == nil {
			_, ok := shard.Published(publishID)
			return ok, nil
		}
	}
	return false, port.ErrUnknown
}

func (s *Service) read(ctx context.Context, key string) (port.Entry, *config.Shard, error) {
	entry, err := s.store.Get(ctx, key)
	if errors.Is(err, port.ErrMissing) {
		return port.Entry{Key: key}, &config.Shard{}, nil
	}
	if err != nil {
		return entry, nil, storeFault(err)
	}
	shard, err := config.DecodeShard(entry.Value)
	if err != nil {
		return entry, nil, fault(result.StoreUnavailable, key+": "+err.Error())
	}
	return entry, shard, nil
}

func (s *Service) audit(ctx context.Context, key string, c config.Change) {
	s.log.Info("change accepted",
		zap.String("team", teamOf(ctx).Name),
		zap.String("shard", key),
		zap.Uint64("sequence", c.Sequence),
		zap.String("publish_id", c.PublishID))
}

// conflict returns the error of a change whose base is not in force, with both sides.
func conflict(base, now uint64, ours, theirs string) error {
	f := fault(result.Conflict, fmt.Sprintf("the change was made from sequence %d, and %d is in force; nothing was changed", base, now))
	f.Ours, f.Theirs = &ours, &theirs
	return f
}

// PublishTemplate implements the generated service. A base other than 0 must be the sequence
// of the version in force.
func (s *Service) PublishTemplate(ctx context.Context, p *adminapi.PublishTemplatePayload) (*adminapi.Revision, error) {
	if err := authorizeChange(ctx, p.Template); err != nil {
		return nil, err
	}
	file := "template"
	if p.File != nil {
		file = *p.File
	}
	t, err := config.ParseTemplate(file, []byte(p.Source))
	if err != nil {
		return nil, fault(result.Invalid, err.Error())
	}
	if t.Name() != p.Template {
		return nil, fault(result.Invalid, fmt.Sprintf("%s:1: template: %q is published under the name %q", file, t.Name(), p.Template))
	}
	if err := s.checkAccounts(ctx, t); err != nil {
		return nil, err
	}
	key := config.TemplateKey(p.Template)
	change, err := s.publish(ctx, key, p.PublishID, func(shard *config.Shard, c config.Change) (config.Change, error) {
		current, _ := shard.Current()
		if p.Base != nil && *p.Base != 0 && *p.Base != current.Sequence {
			return c, conflict(*p.Base, current.Sequence, p.Source, current.Source)
		}
		return shard.PutTemplate(c, p.Source), nil
	})
	if err != nil {
		return nil, err
	}
	return revision(p.Template, "", key, change), nil
}

// checkAccounts returns an error if an account in force would be invalid with the new
// version of the template.
func (s *Service) checkAccounts(ctx context.Context, t *config.Template) error {
	for _, key := range config.AccountKeys(t.Name()) {
		_, shard, err := s.read(ctx, key)
		if err != nil {
			return err
		}
		for name, a := range shard.Accounts {
			if _, err := t.Instantiate(name, a.Parameters); err != nil {
				return fault(result.Invalid, "account "+name+" would no longer be valid: "+err.Error())
			}
		}
	}
	return nil
}

// SetAccount implements the generated service. A base other than 0 must be the sequence of the
// account in force.
func (s *Service) SetAccount(ctx context.Context, p *adminapi.SetAccountPayload) (*adminapi.Revision, error) {
	if err := authorizeChange(ctx, p.Template); err != nil {
		return nil, err
	}
	_, shard, err := s.read(ctx, config.TemplateKey(p.Template))
	if err != nil {
		return nil, err
	}
	version, ok := shard.Current()
	if !ok {
		return nil, fault(result.Missing, "there is no template "+p.Template)
	}
	t, err := config.ParseTemplate(p.Template, []byte(version.Source))
	if err != nil {
		return nil, fault(result.Invalid, err.Error())
	}
	if _, err := t.Instantiate(p.Account, p.Parameters); err != nil {
		return nil, fault(result.Invalid, err.Error())
	}
	key := config.AccountKey(p.Template, p.Account)
	change, err := s.publish(ctx, key, p.PublishID, func(shard *config.Shard, c config.Change) (config.Change, error) {
		now := shard.Accounts[p.Account]
		if p.Base != nil && *p.Base != 0 && *p.Base != now.Sequence {
			return c, conflict(*p.Base, now.Sequence, fmt.Sprint(p.Parameters), fmt.Sprint(now.Parameters))
		}
		return shard.PutAccount(c, p.Account, p.Parameters), nil
	})
	if err != nil {
		return nil, err
	}
	return revision(p.Template, p.Account, key, change), nil
}

// RemoveAccount implements the generated service. It is a fault if there is no such account.
func (s *Service) RemoveAccount(ctx context.Context, p *adminapi.RemoveAccountPayload) (*adminapi.Revision, error) {
	if err := authorizeChange(ctx, p.Template); err != nil {
		return nil, err
	}
	key := config.AccountKey(p.Template, p.Account)
	change, err := s.publish(ctx, key, p.PublishID, func(shard *config.Shard, c config.Change) (config.Change, error) {
		if _, ok := shard.Accounts[p.Account]; !ok {
			return c, fault(result.Missing, "there is no account "+p.Account)
		}
		return shard.RemoveAccount(c, p.Account), nil
	})
	if err != nil {
		return nil, err
	}
	return revision(p.Template, p.Account, key, change), nil
}
