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

// writtenLog keeps what nodes log, every level of it.
type writtenLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (w *writtenLog) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *writtenLog) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func (w *writtenLog) logger() *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(w), zap.DebugLevel))
}

// TestKeysAreNeverWritten uses keys that are known, unknown, taken away, and in documents
// that are refused, and looks for them in all that nodes write, serve and answer.
func TestKeysAreNeverWritten(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.written = &writtenLog{}
	b.addBirths(2)
	b.meet()
	b.withAccounts(4, `{"name":"office","apiKeys":["secret-known","secret-gone"],"ratePerS":0.5,"burstSize":2}`)
	b.withAccounts(5, `{"name":"office","apiKeys":["secret-known"],"ratePerS":0.5,"burstSize":2}`)
	b.nodes[0].config.take(accountsText(6, `{"name":"office","apiKeys":["secret-twice","secret-twice"]},{"name":"","apiKeys":["secret-nameless"]}`), "test")
	b.nodes[0].config.take(accountsText(7, `{"name":"office","apiKeys":["secret-broken`), "test")
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
	all := b.written.String() + answers.String()
	assert.Contains(t, all, "configuration refused")
	assert.Contains(t, all, "over-limit")
	assert.NotContains(t, all, "secret-")
}
