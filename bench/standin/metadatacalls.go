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

// headerEra counts how often the store was restored.
const headerEra = "Store-Era"

// maxMetadataWait is the longest wait of a watch that the protocol allows.
const maxMetadataWait = 30 * time.Second

// metadataItem is a key as the protocol shows it.
type metadataItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	// Tombstone says that the key is gone.
	Tombstone bool `json:"tombstone,omitempty"`
}

// items shows entries; the directory does not keep when a key was made.
func items(entries []port.Entry) []metadataItem {
	out := []metadataItem{}
	for _, e := range entries {
		out = append(out, metadataItem{Key: e.Key, Value: e.Value, Revision: e.Version, Created: e.Version, Tombstone: e.Removed})
	}
	return out
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may be gone.
}

// failed answers an error of the directory, and reports whether there was one.
func failed(w http.ResponseWriter, at port.Moment, err error) bool {
	w.Header().Set(headerEra, strconv.FormatUint(at.Era, 10))
	switch {
	case err == nil:
		return false
	case errors.Is(err, port.ErrMissing):
		reply(w, http.StatusNotFound, map[string]any{"currentRev": at.Revision})
	case errors.Is(err, port.ErrCompacted):
		reply(w, http.StatusGone, map[string]any{"error": "history is gone"})
	default:
		reply(w, http.StatusServiceUnavailable, map[string]any{"error": err.Error()})
	}
	return true
}

func (m *Metadata) key(w http.ResponseWriter, r *http.Request) {
	e, at, err := m.directory.Get(r.Context(), r.URL.Query().Get("key"))
	if failed(w, at, err) {
		return
	}
	reply(w, http.StatusOK, struct {
		metadataItem
		CurrentRev uint64 `json:"currentRev"`
	}{items([]port.Entry{e})[0], at.Revision})
}

// pageItems is how many items one page of a range has; small, so that tests see pages.
const pageItems = 3

func (m *Metadata) items(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, at, err := m.directory.Range(r.Context(), q.Get("pathPrefix"))
	if failed(w, at, err) {
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
	reply(w, http.StatusOK, map[string]any{"items": items(page), "morePages": more, "currentRev": at.Revision})
}

func (m *Metadata) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxMetadataWait {
		http.Error(w, "after or waitMs", http.StatusBadRequest)
		return
	}
	era := m.directory.Moment().Era // The protocol has no word for the one that the caller means.
	entries, at, err := m.directory.Watch(r.Context(), q.Get("pathPrefix"), port.Moment{Era: era, Revision: after}, time.Duration(wait)*time.Millisecond)
	if failed(w, at, err) {
		return
	}
	reply(w, http.StatusOK, map[string]any{"events": items(entries), "currentRev": at.Revision})
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
		if strings.HasPrefix(s.Key, "op/") || strings.HasPrefix(s.Key, "servers/") {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
		if failed(w, m.directory.Moment(), m.directory.Put(r.Context(), s.Key, s.Value)) {
			return
		}
	}
	for _, key := range t.Remove {
		if failed(w, m.directory.Moment(), m.directory.Remove(r.Context(), key)) {
			return
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": m.directory.Moment().Revision})
}
