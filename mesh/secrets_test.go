package mesh

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logRecorder records what nodes log, at every level.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (w *logRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *logRecorder) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func (w *logRecorder) logger() *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(w), zap.DebugLevel))
}

// API keys must never appear in logs, dumps, metrics or responses, whether valid, unknown,
// removed or in rejected configurations.
func TestKeysAreNeverExposed(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.logs = &logRecorder{}
	b.addBirths(2)
	b.awaitReady()
	b.withAccounts(4, `{"name":"office","apiKeys":["secret-known","secret-gone"],"ratePerS":0.5,"burstSize":2}`)
	b.withAccounts(5, `{"name":"office","apiKeys":["secret-known"],"ratePerS":0.5,"burstSize":2}`)
	b.nodes[0].config.apply(accountsText(6, `{"name":"office","apiKeys":["secret-twice","secret-twice"]},{"name":"","apiKeys":["secret-nameless"]}`), "test")
	b.nodes[0].config.apply(accountsText(7, `{"name":"office","apiKeys":["secret-broken`), "test")
	var answers strings.Builder
	for i, key := range []string{"secret-known", "secret-known", "secret-known", "secret-known", "secret-gone", "secret-unknown"} {
		for _, n := range b.nodes {
			status, header := n.call("/look/x", fmt.Sprintf("a%d-%s", i, n.self.Name), keyHeader(key))
			fmt.Fprintln(&answers, status, header)
		}
	}
	for _, n := range b.nodes {
		n.stopNode()
		dump, err := json.Marshal(n.Dump())
		require.NoError(t, err)
		metrics := httptest.NewRecorder()
		n.metrics.ServeHTTP(metrics, nil)
		answers.Write(dump)
		answers.WriteString(metrics.Body.String())
	}
	all := b.logs.String() + answers.String()
	assert.Contains(t, all, "configuration refused")
	assert.Contains(t, all, "over-limit")
	assert.NotContains(t, all, "secret-")
}
