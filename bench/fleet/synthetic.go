package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// SyntheticSize is the size of a synthetic deployment.
type SyntheticSize struct {
	Nodes     int
	Upstreams int
	Slots     int
	Work      time.Duration
	Accounts  int
}

// Synthetic writes a deployment of one service in one data centre to dir and reads it
// back.
func Synthetic(dir string, s SyntheticSize) (*Deployment, error) {
	const name = "synthetic"
	template := fmt.Sprintf(`template: synthetic
services:
  - name: work
    upstreams: %d
    floor: %d
    slots: %d
    connections: 1000
    routes:
      - {name: get, pattern: "GET /get/{id}", operation: retryable}
      - {name: post, pattern: "POST /post", operation: at_most_once}
`, s.Upstreams, (s.Upstreams+1)/2, s.Slots)
	var accounts strings.Builder
	for i := range s.Accounts {
		fmt.Fprintf(&accounts, "  account-%d: {}\n", i+1)
	}
	text := fmt.Sprintf(`name: %s
template: template.yaml
data_centres: [one]
one_way: 0s
work: %s
sigma: 0
slots: %d
nodes: %d
services:
  - {name: work, upstreams: %d, floor: %d, lookup: get/1, order: post}
accounts:
%s`, name, s.Work, s.Slots, s.Nodes, s.Upstreams, (s.Upstreams+1)/2, accounts.String())
	for file, content := range map[string]string{"template.yaml": template, "deployment.yaml": text} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600); err != nil {
			return nil, errors.Wrap(err, "synthetic deployment")
		}
	}
	return ReadDeployment(filepath.Join(dir, "deployment.yaml"))
}
