package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validTemplate = `template: t
parameters:
  - {name: wait, type: duration, default: 2s, min: 100ms, max: 10s}
  - {name: office, type: text, required: true}
services:
  - name: s
    upstreams: 3
    floor: 2
    routes:
      - {name: one, pattern: "GET /births/{id}", operation: retryable, timeout: "${wait}", headers: {X-Office: "${office}"}}
      - {name: new, pattern: "GET /births/new", operation: retryable}
      - {name: rest, pattern: "GET /files/{path...}", operation: retryable}
      - {name: post, pattern: "POST /births", operation: at_most_once}
`

// TestRefusedTemplates parses the invalid templates in testdata/refused and
// compares the faults with those listed in the same file.
func TestRefusedTemplates(t *testing.T) {
	files, err := filepath.Glob("testdata/refused/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			source, want, ok := strings.Cut(string(text), "=== faults\n")
			require.True(t, ok)
			_, err = ParseTemplate("t.yaml", []byte(source))
			require.Error(t, err)
			assert.ElementsMatch(t, strings.Split(strings.TrimSpace(want), "\n"), strings.Split(err.Error(), "\n"))
		})
	}
}

func TestRoutes(t *testing.T) {
	template, err := ParseTemplate("t.yaml", []byte(validTemplate))
	require.NoError(t, err)
	for request, want := range map[string]string{
		"GET /births/118":     "one",
		"GET /births/new":     "new",
		"GET /files/a/b/c":    "rest",
		"POST /births":        "post",
		"POST /births/118":    "",
		"GET /births":         "",
		"GET /births/118/x":   "",
		"DELETE /births/118":  "",
		"GET /":               "",
		"GET /births/new/two": "",
	} {
		method, path, _ := strings.Cut(request, " ")
		name := ""
		if r := template.Route(method, path); r != nil {
			name = r.Name()
		}
		assert.Equal(t, want, name, request)
	}
}

func TestAccount(t *testing.T) {
	template, err := ParseTemplate("t.yaml", []byte(validTemplate))
	require.NoError(t, err)
	a, err := template.Instantiate("oficina-07", map[string]string{"office": "7", "wait": "800ms"})
	require.NoError(t, err)
	route := template.Route("GET", "/births/118")
	assert.Equal(t, 800*time.Millisecond, a.Timeout(route))
	headers := map[string]string{}
	a.EachHeader(route, func(name, value string) { headers[name] = value })
	assert.Equal(t, map[string]string{"X-Office": "7"}, headers)
	plain, err := template.Instantiate("oficina-08", map[string]string{"office": "8"})
	require.NoError(t, err)
	assert.Equal(t, 2*time.Second, plain.Timeout(route))
	_, err = template.Instantiate("Oficina", map[string]string{"wait": "1h", "ofice": "7", "office": "a\nb"})
	require.Error(t, err)
	for _, part := range []string{"account: ", "parameters.wait: 1h is over", "parameters.ofice: the template declares no", `parameters.office: "a\nb" holds`} {
		assert.ErrorContains(t, err, part)
	}
}

// encoded returns the store value of a shard.
func encoded(t *testing.T, s *Shard) []byte {
	t.Helper()
	value, err := s.Encode()
	require.NoError(t, err)
	return value
}

func TestHolderIgnoresOlderSequences(t *testing.T) {
	h, shard := NewHolder(), &Shard{}
	shard.PutTemplate(Change{PublishID: "a"}, validTemplate)
	first := encoded(t, shard)
	shard.PutTemplate(Change{PublishID: "b"}, strings.Replace(validTemplate, "floor: 2", "floor: 1", 1))
	second := encoded(t, shard)
	for _, step := range []struct {
		value   []byte
		changed bool
	}{{first, true}, {second, true}, {first, false}, {second, false}} {
		changed, err := h.Apply(TemplateKey("t"), step.value)
		require.NoError(t, err)
		assert.Equal(t, step.changed, changed)
	}
	assert.Equal(t, 1, h.Snapshot().Template("t").Service("s").Floor())
	corrupted := []byte(strings.Replace(string(second), "floor: 1", "floor: 3", 1))
	_, err := h.Apply(TemplateKey("t"), corrupted)
	assert.ErrorContains(t, err, "corrupted")
	assert.Equal(t, uint64(2), h.Snapshot().Sequences()[TemplateKey("t")])
}

// TestAccountsBeforeTheirTemplate applies an account shard before the shard of its
// template: shards arrive in any order.
func TestAccountsBeforeTheirTemplate(t *testing.T) {
	h, template, accounts := NewHolder(), &Shard{}, &Shard{}
	template.PutTemplate(Change{PublishID: "a"}, validTemplate)
	accounts.PutAccount(Change{PublishID: "b"}, "oficina-07", map[string]string{"office": "7"})
	_, err := h.Apply(AccountKey("t", "oficina-07"), encoded(t, accounts))
	require.NoError(t, err)
	_, a, _ := h.Snapshot().Find("oficina-07", "GET", "/births/1")
	assert.Nil(t, a)
	_, err = h.Apply(TemplateKey("t"), encoded(t, template))
	require.NoError(t, err)
	_, a, r := h.Snapshot().Find("oficina-07", "GET", "/births/1")
	require.NotNil(t, a)
	require.NotNil(t, r)
	accounts.RemoveAccount(Change{PublishID: "c"}, "oficina-07")
	_, err = h.Apply(AccountKey("t", "oficina-07"), encoded(t, accounts))
	require.NoError(t, err)
	_, a, _ = h.Snapshot().Find("oficina-07", "GET", "/births/1")
	assert.Nil(t, a)
}

func TestFindAllocatesNothing(t *testing.T) {
	h, template, accounts := NewHolder(), &Shard{}, &Shard{}
	template.PutTemplate(Change{PublishID: "a"}, validTemplate)
	accounts.PutAccount(Change{PublishID: "b"}, "oficina-07", map[string]string{"office": "7"})
	for key, s := range map[string]*Shard{TemplateKey("t"): template, AccountKey("t", "oficina-07"): accounts} {
		_, err := h.Apply(key, encoded(t, s))
		require.NoError(t, err)
	}
	assert.Zero(t, testing.AllocsPerRun(100, func() { h.Snapshot().Find("oficina-07", "GET", "/births/118") }))
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		h, template := NewHolder(), &Shard{}
		template.PutTemplate(Change{PublishID: "a"}, validTemplate)
		shards := map[string]*Shard{TemplateKey("t"): template}
		for i := range n {
			name := fmt.Sprintf("account-%d", i)
			key := AccountKey("t", name)
			if shards[key] == nil {
				shards[key] = &Shard{}
			}
			shards[key].PutAccount(Change{PublishID: "b"}, name, map[string]string{"office": "7"})
		}
		for key, s := range shards {
			value, err := s.Encode()
			if err == nil {
				_, err = h.Apply(key, value)
			}
			if err != nil {
				b.Skip(err) // Too many accounts for the size limit of a store value.
			}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				h.Snapshot().Find("account-77", "GET", "/births/118")
			}
		})
	}
}

// FuzzParseTemplate looks for a template that makes the parser panic, or that
// parses once and whose Source doesn't parse again.
func FuzzParseTemplate(f *testing.F) {
	f.Add(validTemplate)
	files, _ := filepath.Glob("testdata/refused/*.txt")
	for _, file := range files {
		text, _ := os.ReadFile(file)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, source string) {
		template, err := ParseTemplate("f.yaml", []byte(source))
		if err != nil {
			return
		}
		again, err := ParseTemplate("f.yaml", []byte(template.Source()))
		require.NoError(t, err)
		assert.Equal(t, template.Name(), again.Name())
		template.Route("GET", "/a/b/c")
	})
}
