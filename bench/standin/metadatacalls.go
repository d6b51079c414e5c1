package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/port"
)

// headerEra is the header that counts how often the store was restored.
const headerEra = "Store-Era"

// maxMetadataWait is the longest watch that the protocol allows.
const maxMetadataWait = 30 * time.Second

// metadataItem is the protocol's encoding of a key.
type metadataItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	// Tombstone marks a removed key.
	Tombstone bool `json:"tombstone,omitempty"`
}

// encodeItems encodes entries. Created repeats the revision, as the directory does
// not record when a key was created.
func encodeItems(entries []port.Entry) []metadataItem {
	out := []metadataItem{}
	for _, e := range entries {
		out = append(out, metadataItem{Key: e.Key, Value: e.Value, Revision: e.Version, Created: e.Version, Tombstone: e.Removed})
	}
	return out
}

func writeStatusJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client may have disconnected.
}

// writeError sets the era header and, if err is not nil, writes the response for
// it. It reports whether err was not nil.
func writeError(w http.ResponseWriter, at port.StoreRevision, err error) bool {
	w.Header().Set(headerEra, strconv.FormatUint(at.Era, 10))
	switch {
	case err == nil:
		return false
	case errors.Is(err, port.ErrMissing):
		writeStatusJSON(w, http.StatusNotFound, map[string]any{"currentRev": at.Revision})
	case errors.Is(err, port.ErrCompacted):
		writeStatusJSON(w, http.StatusGone, map[string]any{"error": "history is gone"})
	default:
		writeStatusJSON(w, http.StatusServiceUnavailable, map[string]any{"error": err.Error()})
	}
	return true
}

func (m *Metadata) key(w http.ResponseWriter, r *http.Request) {
	e, at, err := m.directory.Get(r.Context(), r.URL.Query().Get("key"))
	if writeError(w, at, err) {
		return
	}
	writeStatusJSON(w, http.StatusOK, struct {
		metadataItem
		CurrentRev uint64 `json:"currentRev"`
	}{encodeItems([]port.Entry{e})[0], at.Revision})
}

// pageItems is the number of items on a page of a range; small, so that tests cover
// paging.
const pageItems = 3

func (m *Metadata) items(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, at, err := m.directory.Range(r.Context(), q.Get("pathPrefix"))
	if writeError(w, at, err) {
		return
	}
	var page []port.Entry
	more := false
	for _, e := range entries {
		if e.Key <= q.Get("after") {
			continue
		}
		if more = len(page) == pageItems; more {
			break
		}
		page = append(page, e)
	}
	writeStatusJSON(w, http.StatusOK, map[string]any{"items": encodeItems(page), "morePages": more, "currentRev": at.Revision})
}

func (m *Metadata) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxMetadataWait {
		http.Error(w, "after or waitMs", http.StatusBadRequest)
		return
	}
	era := m.directory.Revision().Era // The protocol does not carry the caller's era.
	entries, at, err := m.directory.Watch(r.Context(), q.Get("pathPrefix"), port.StoreRevision{Era: era, Revision: after}, time.Duration(wait)*time.Millisecond)
	if writeError(w, at, err) {
		return
	}
	writeStatusJSON(w, http.StatusOK, map[string]any{"events": encodeItems(entries), "currentRev": at.Revision})
}

func (m *Metadata) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		SetKeys []metadataItem `json:"setKeys"`
		Remove  []string       `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, s := range t.SetKeys {
		// Nodes may not write keys with these prefixes.
		if strings.HasPrefix(s.Key, "op/") || strings.HasPrefix(s.Key, "servers/") {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
		if writeError(w, m.directory.Revision(), m.directory.Put(r.Context(), s.Key, s.Value)) {
			return
		}
	}
	for _, key := range t.Remove {
		if writeError(w, m.directory.Revision(), m.directory.Remove(r.Context(), key)) {
			return
		}
	}
	writeStatusJSON(w, http.StatusOK, map[string]any{"revision": m.directory.Revision().Revision})
}
