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

// Keys that callers show. All begin alike, so that a search for secretPrefix finds any.
const (
	secretPrefix = "soak-key-"
	keyOffice    = secretPrefix + "office"
	keySmall     = secretPrefix + "small"
	keyMoves     = secretPrefix + "moves" // Passed from one account to the other with each version.
	keyGone      = secretPrefix + "gone"  // Held by the first version only.
	keyUnknown   = secretPrefix + "unknown"
)

const (
	// The small account's limit, and what the nodes' settings grant above it.
	smallRate   = 5
	smallBurst  = 5
	limitWindow = 5 * time.Second
	limitOver   = 0.1
	limitSlack  = 20
	// keyTime is how long after the last fault a change of keys is in force everywhere.
	keyTime = 3 * time.Second
)

// accountsText is the accounts' part of a configuration.
func accountsText(version int) string {
	office, court := fmt.Sprintf(`%q`, keyOffice), `"`+secretPrefix+`court"`
	if version%2 == 1 {
		office += fmt.Sprintf(`,%q`, keyMoves)
	} else {
		court += fmt.Sprintf(`,%q`, keyMoves)
	}
	if version == 1 {
		office += fmt.Sprintf(`,%q`, keyGone)
	}
	return fmt.Sprintf(`"tenants":[{"name":"office","apiKeys":[%s]},{"name":"court","apiKeys":[%s]},{"name":"small","apiKeys":[%q],"ratePerS":%d,"burstSize":%d}],`,
		office, court, keySmall, smallRate, smallBurst)
}

// holders are the accounts that an upstream may be told for a key.
var holders = map[string][]string{
	keyOffice: {"office"},
	keySmall:  {"small"},
	keyMoves:  {"office", "court"},
	keyGone:   {"office"},
}

// keyOf is the key that a caller's request shows: one in eight is of the small account,
// which is thereby far over its limit, and one in forty shows a key that nobody holds.
func keyOf(i int) string {
	switch {
	case i%40 == 7:
		return keyUnknown
	case i%8 == 3:
		return keySmall
	case i%8 == 5:
		return keyMoves
	default:
		return keyOffice
	}
}

// countsAsServed tells whether a request with the key is one that has to be served.
func countsAsServed(key string) bool { return key != keySmall && key != keyUnknown }

// checkKeys looks whether a key that was taken away long ago is let in anywhere, and
// whether any key stands in what the nodes have written.
func (s *soak) checkKeys(ctx context.Context) {
	if !s.options.Accounts {
		return
	}
	time.Sleep(keyTime)
	for i, n := range s.nodes {
		attempt := fmt.Sprintf("s%d-gone-%d", s.options.Seed, i)
		s.ledger.send(attempt, "GET /look/"+attempt+" ", false, keyGone)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+"/look/"+attempt, nil)
		if err != nil {
			s.ledger.violate("harness: %v", err)
			return
		}
		r.Host = "soak.example"
		r.Header.Set("Attempt-Id", attempt)
		r.Header.Set("Authorization", "Token "+keyGone)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			continue // RECOVER has seen it.
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusUnauthorized && s.version > 1 {
			s.ledger.violate("CONFIG: %s answered %d for a key that version 2 took away; version %d is the newest", n.name, answer.StatusCode, s.version)
		}
	}
	s.searchSecrets()
}

// searchSecrets looks for keys in all files of the run.
func (s *soak) searchSecrets() {
	files, err := filepath.Glob(filepath.Join(s.options.Dir, "*"))
	if err != nil {
		s.ledger.violate("harness: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // A folder.
		}
		if at := bytes.Index(text, []byte(secretPrefix)); at >= 0 {
			s.ledger.violate("SECRET: %s holds %q", filepath.Base(file), text[at:min(at+40, len(text))])
		}
	}
}
