package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Keys that callers send. All share secretPrefix, so that searchSecrets finds any of them.
const (
	secretPrefix = "soak-key-"
	keyOffice    = secretPrefix + "office"
	keySmall     = secretPrefix + "small"
	keyMoved     = secretPrefix + "moves" // Moves from one account to the other with each configuration version.
	keyRevoked   = secretPrefix + "gone"  // Only in the first version.
	keyUnknown   = secretPrefix + "unknown"
)

const (
	// Limit of the small account, in requests a second, and the excess that the nodes'
	// settings allow.
	smallRate   = 5
	smallBurst  = 5
	limitWindow = 5 * time.Second
	limitOver   = 0.1
	limitSlack  = 20
	// keyPropagationTime bounds the time from the last fault until every node applies a
	// change of keys.
	keyPropagationTime = 3 * time.Second
)

// accountsText returns the accounts section of a configuration.
func accountsText(version int) string {
	office, court := fmt.Sprintf(`%q`, keyOffice), `"`+secretPrefix+`court"`
	if version%2 == 1 {
		office += fmt.Sprintf(`,%q`, keyMoved)
	} else {
		court += fmt.Sprintf(`,%q`, keyMoved)
	}
	if version == 1 {
		office += fmt.Sprintf(`,%q`, keyRevoked)
	}
	return fmt.Sprintf(`"tenants":[{"name":"office","apiKeys":[%s]},{"name":"court","apiKeys":[%s]},{"name":"small","apiKeys":[%q],"ratePerS":%d,"burstSize":%d}],`,
		office, court, keySmall, smallRate, smallBurst)
}

// accountsOfKey lists, by key, the accounts that a node may forward to an upstream.
var accountsOfKey = map[string][]string{
	keyOffice:  {"office"},
	keySmall:   {"small"},
	keyMoved:   {"office", "court"},
	keyRevoked: {"office"},
}

// keyOf returns the key that request i sends. One request in eight belongs to the small
// account, which therefore exceeds its limit by far; one in forty has an unknown key.
func keyOf(i int) string {
	switch {
	case i%40 == 7:
		return keyUnknown
	case i%8 == 3:
		return keySmall
	case i%8 == 5:
		return keyMoved
	default:
		return keyOffice
	}
}

// mustBeServed reports whether the fleet has to serve a request with the key.
func mustBeServed(key string) bool { return key != keySmall && key != keyUnknown }

// checkKeys checks that no node admits a revoked key and that no file written during
// the run contains a key.
func (s *soak) checkKeys(ctx context.Context) {
	if !s.options.Accounts {
		return
	}
	time.Sleep(keyPropagationTime)
	for i, n := range s.nodes {
		attempt := fmt.Sprintf("s%d-gone-%d", s.options.Seed, i)
		s.checker.recordSent(n, attempt, "GET /look/"+attempt+" ", false, keyRevoked)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+"/look/"+attempt, nil)
		if err != nil {
			s.checker.violate("harness: %v", err)
			return
		}
		r.Host = "soak.example"
		r.Header.Set("Attempt-Id", attempt)
		r.Header.Set("Authorization", "Token "+keyRevoked)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue // checkRecovery reports unreachable nodes.
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized && s.version > 1 {
			s.checker.violate("CONFIG: %s answered %d for a key that version 2 took away; version %d is the newest", n.name, resp.StatusCode, s.version)
		}
	}
	s.searchSecrets()
}

// searchSecrets reports keys in files of the run, such as logs and settings.
func (s *soak) searchSecrets() {
	files, err := filepath.Glob(filepath.Join(s.options.Dir, "*"))
	if err != nil {
		s.checker.violate("harness: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // A directory.
		}
		if at := bytes.Index(text, []byte(secretPrefix)); at >= 0 {
			s.checker.violate("SECRET: %s holds %q", filepath.Base(file), text[at:min(at+40, len(text))])
		}
	}
}
