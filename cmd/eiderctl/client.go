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

const callTimeout = 30 * time.Second

// options are the flags every command has.
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
		return nil, &exitError{errors.Errorf("--address %q is no URL", o.address), exitUsage}
	}
	doer, err := o.doer()
	if err != nil {
		return nil, err
	}
	c := client.NewClient(u.Scheme, u.Host, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return adminapi.NewClient(
		c.PublishTemplate(), c.ListTemplates(), c.ShowTemplate(), c.TemplateHistory(),
		c.SetAccount(), c.RemoveAccount(), c.ShowAccount(), c.ListAccounts(),
		c.Status(), c.Dump(),
	), nil
}

func (o *options) doer() (*http.Client, error) {
	if o.authority == "" {
		return &http.Client{Timeout: callTimeout}, nil
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
	return &http.Client{Timeout: callTimeout, Transport: transport}, nil
}

// bearer returns the token as the API wants it, nil if there is none.
func (o *options) bearer() *string {
	if o.token == "" {
		return nil
	}
	text := "Bearer " + o.token
	return &text
}

// newPublishID names one change; a retry of the same call uses the same one.
func newPublishID() string { return uuid.NewString() }
