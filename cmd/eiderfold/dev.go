package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"eiderfold/admin"
	"eiderfold/config"
	"eiderfold/keys"
	"eiderfold/memory"
	"eiderfold/node"
	"eiderfold/port"
	"eiderfold/proxy"
	"eiderfold/settings"
)

//go:embed sample.yaml
var sampleTemplate string

const (
	sampleTemplateName = "montevideo"
	sampleAccount      = "oficina-07"
	sampleToken        = "sample-token-for-dev"
	sampleDataCentre   = "sede-central"
	sampleDelay        = 2 * time.Millisecond
	readyTimeout       = 20 * time.Second
	readyPollInterval  = 50 * time.Millisecond
)

// devCommand returns the command that runs a node, an in-memory platform and sample
// upstreams in one process.
func devCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a node with an in-memory platform and sample upstreams",
		Args:  cobra.NoArgs,
	}
	callers := c.Flags().String("callers", "127.0.0.1:8080", "IP:port for callers")
	operators := c.Flags().String("admin", "127.0.0.1:8081", "IP:port of the admin API")
	peers := c.Flags().String("peers", "127.0.0.1:7400", "IP:port for other nodes")
	level := c.Flags().String("log", "warn", "minimum log level")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return dev(c, devOptions{callers: *callers, admin: *operators, peers: *peers, level: *level})
	}
	return c
}

// devOptions holds the IP:port addresses to listen on and the log level.
type devOptions struct{ callers, admin, peers, level string }

func dev(c *cobra.Command, options devOptions) error {
	log, err := logger(options.level, "console")
	if err != nil {
		return err
	}
	s, material, err := devSettings(options)
	if err != nil {
		return err
	}
	store, list := memory.NewStore(), memory.NewList()
	if err := sampleUpstreams(c.Context(), list); err != nil {
		return err
	}
	if err := publishSample(c.Context(), store); err != nil {
		return err
	}
	n, err := node.New(s, material, node.WithStore(store), node.WithList(list), node.WithLog(log))
	if err != nil {
		return err
	}
	list.Put(node.ListName(sampleTemplateName), port.Instance{Name: s.Node(), Address: n.PeerAddress(), DataCentre: sampleDataCentre, State: port.Live})
	go announce(c, options)
	api := admin.New(n, store, s.Teams(), log)
	return n.Run(c.Context(), api.Handler(), nil)
}

// devSettings returns settings with newly generated keys. They are loaded from a
// file, like those of any node, so that they are validated the same way.
func devSettings(options devOptions) (*settings.Settings, *keys.Material, error) {
	authority, err := keys.NewAuthority("dev")
	if err != nil {
		return nil, nil, err
	}
	pair, err := authority.Issue("dev", []string{"127.0.0.1"})
	if err != nil {
		return nil, nil, err
	}
	text, err := yaml.Marshal(map[string]any{
		"node":        "dev",
		"data_centre": sampleDataCentre,
		"templates":   []string{sampleTemplateName},
		"listen":      map[string]string{"callers": options.callers, "admin": options.admin, "peers": options.peers},
		"platform":    map[string]string{"address": "http://in-memory"},
		"keys":        map[string]string{"certificate": string(pair.Certificate), "key": string(pair.Key), "authority": string(authority.Certificate())},
		"teams":       []map[string]any{{"name": "dev", "token": sampleToken, "templates": []string{"*"}}},
		"stop":        map[string]string{"grace": "100ms"},
	})
	if err != nil {
		return nil, nil, errors.Wrap(err, "settings")
	}
	dir, err := os.MkdirTemp("", "eiderfold-dev")
	if err != nil {
		return nil, nil, errors.Wrap(err, "settings")
	}
	defer os.RemoveAll(dir) //nolint:errcheck // A leftover in the temporary directory is harmless.
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, text, privateMode); err != nil {
		return nil, nil, errors.Wrap(err, "settings")
	}
	s, err := settings.Load(path, func(string) (string, bool) { return "", false }, nil)
	if err != nil {
		return nil, nil, err
	}
	material, err := s.PeerKeys()
	return s, material, err
}

// sampleUpstreams starts three upstreams for each service of the sample template.
func sampleUpstreams(ctx context.Context, list *memory.List) error {
	for _, service := range []string{"certificados", "inscripciones"} {
		for i := 1; i <= 3; i++ {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return errors.Wrap(err, "sample upstream")
			}
			name := service + "-" + strconv.Itoa(i)
			server := &http.Server{Handler: sampleUpstream(name), ReadHeaderTimeout: readyTimeout}
			go func() { _ = server.Serve(l) }()
			context.AfterFunc(ctx, func() { _ = server.Close() })
			list.Put(service, port.Instance{Name: name, Address: l.Addr().String(), DataCentre: sampleDataCentre, State: port.Live})
		}
	}
	return nil
}

func sampleUpstream(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(sampleDelay)
		w.Header().Set(proxy.AttemptHeader, r.Header.Get(proxy.AttemptHeader))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The caller disconnected.
		}
		fmt.Fprintf(w, "%s did %s %s for %s %s\n", name, r.Method, r.URL.Path, r.Header.Get("Eiderfold-Account"), body) //nolint:errcheck // The caller may have disconnected.
	})
}

// publishSample writes the sample template and account to the store.
func publishSample(ctx context.Context, store port.Store) error {
	if _, err := config.ParseTemplate("sample.yaml", []byte(sampleTemplate)); err != nil {
		return err
	}
	change := config.Change{PublishID: "sample", Publisher: "dev"}
	template, accounts := &config.Shard{}, &config.Shard{}
	template.PutTemplate(change, sampleTemplate)
	accounts.PutAccount(change, sampleAccount, map[string]string{"office": "7"})
	for key, shard := range map[string]*config.Shard{
		config.TemplateKey(sampleTemplateName):               template,
		config.AccountKey(sampleTemplateName, sampleAccount): accounts,
	} {
		value, err := shard.Encode()
		if err != nil {
			return err
		}
		if _, err := store.CompareAndSwap(ctx, port.Entry{Key: key, Value: value}); err != nil {
			return err
		}
	}
	return nil
}

// announce prints example commands once the node serves requests, or else after
// readyTimeout or when the command ends.
func announce(c *cobra.Command, options devOptions) {
	lookup := "http://" + options.callers + "/" + sampleAccount + "/births/118"
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && c.Context().Err() == nil {
		response, err := http.Get(lookup)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(readyPollInterval)
	}
	lines := []string{
		"ready; try:",
		"  curl -i " + lookup,
		"  curl -i -X POST -H 'Idempotency-Key: order-1' -d 'entry 118' http://" + options.callers + "/" + sampleAccount + "/copies",
		"  curl -H 'Authorization: Bearer " + sampleToken + "' http://" + options.admin + "/v1/templates",
		"  curl -H 'Authorization: Bearer " + sampleToken + "' http://" + options.admin + "/v1/dump",
	}
	fmt.Fprintln(c.OutOrStdout(), strings.Join(lines, "\n")) //nolint:errcheck // Standard output may be closed.
}
