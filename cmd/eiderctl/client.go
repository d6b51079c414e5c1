package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	adminapi "eiderfold/gen/admin"
	"eiderfold/gen/http/admin/client"
)

const requestTimeout = 30 * time.Second

// options holds the flags common to all commands.
type options struct {
	address   string
	token     string
	authority string
	output    string
}

// client returns a client of the admin API.
func (o *options) client() (*adminapi.Client, error) {
	u, err := url.Parse(o.address)
	if err != nil || u.Host == "" {
		return nil, &exitError{errors.Errorf("--address %q is not a URL", o.address), exitUsage}
	}
	httpClient, err := o.httpClient()
	if err != nil {
		return nil, err
	}
	c := client.NewClient(u.Scheme, u.Host, httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return adminapi.NewClient(
		c.PublishTemplate(), c.ListTemplates(), c.ShowTemplate(), c.TemplateHistory(),
		c.SetAccount(), c.RemoveAccount(), c.ShowAccount(), c.ListAccounts(),
		c.Status(), c.Dump(),
	), nil
}

func (o *options) httpClient() (*http.Client, error) {
	if o.authority == "" {
		return &http.Client{Timeout: requestTimeout}, nil
	}
	text, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, errors.Wrap(err, "--authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("--authority: no PEM certificate")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Timeout: requestTimeout, Transport: transport}, nil
}

// bearer returns the value of the Authorization header, or nil if there is no token.
func (o *options) bearer() *string {
	if o.token == "" {
		return nil
	}
	text := "Bearer " + o.token
	return &text
}

// newPublishID returns a unique id of a change. Repeating a change with the same id
// has no further effect.
func newPublishID() string { return uuid.NewString() }
