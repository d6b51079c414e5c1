package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"eiderfold/config"
	adminapi "eiderfold/gen/admin"
)

func templateCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "template", Short: "Publish and show templates"}
	c.AddCommand(publishCommand(o), listTemplatesCommand(o), showTemplateCommand(o), historyCommand(o), diffCommand(o), rollbackCommand(o))
	return c
}

// readTemplate reads and validates a template file.
func readTemplate(path string) (*config.Template, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "template")
	}
	t, err := config.ParseTemplate(path, source)
	if err != nil {
		return nil, &exitError{err, exitInvalid}
	}
	return t, nil
}

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE...",
		Short:   "Check templates without a node",
		Example: "  eiderctl validate montevideo.yaml tartu.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, f := range files {
				t, err := readTemplate(f)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: template %s is good\n", f, t.Name()); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func publishCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:     "publish FILE",
		Short:   "Publish a template",
		Long:    "Publish a template. It returns once the change is accepted, and with --wait once it is in force on every live node.",
		Example: "  eiderctl template publish montevideo.yaml --wait\n  eiderctl template publish montevideo.yaml --base 12",
		Args:    cobra.ExactArgs(1),
	}
	base := c.Flags().Uint64("base", 0, "refuse the change unless this sequence is in force")
	id := c.Flags().String("publish-id", "", "repeat the publish with this id, whose response was lost")
	wait := waitFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		t, err := readTemplate(arguments[0])
		if err != nil {
			return err
		}
		return publish(c, o, wait, &adminapi.PublishTemplatePayload{
			Template: t.Name(), Source: t.Source(), File: &arguments[0], PublishID: *id, Base: base,
		})
	}
	return c
}

func publish(c *cobra.Command, o *options, wait *waitOptions, p *adminapi.PublishTemplatePayload) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	p.Token = o.bearer()
	if p.PublishID == "" {
		p.PublishID = newPublishID()
	}
	r, err := client.PublishTemplate(c.Context(), p)
	if err != nil {
		return errors.Wrapf(err, "publish id %s", p.PublishID)
	}
	if err := o.print(c.OutOrStdout(), revisions([]*adminapi.Revision{r})); err != nil {
		return err
	}
	return wait.until(c, o, client, r)
}

// revisions returns a table of changes.
func revisions(list []*adminapi.Revision) table {
	t := table{header: []string{"TEMPLATE", "ACCOUNT", "SEQUENCE", "PUBLISHER", "PUBLISH ID"}, value: list}
	for _, r := range list {
		account := ""
		if r.Account != nil {
			account = *r.Account
		}
		t.rows = append(t.rows, []string{r.Template, account, strconv.FormatUint(r.Sequence, 10), r.Publisher, r.PublishID})
	}
	return t
}

func listTemplatesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the templates in the store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.ListTemplates(c.Context(), &adminapi.ListTemplatesPayload{Token: o.bearer()})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), revisions(list))
		},
	}
}

func showTemplateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show NAME",
		Short: "Print a template as published",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			d, err := client.ShowTemplate(c.Context(), &adminapi.ShowTemplatePayload{Token: o.bearer(), Template: arguments[0]})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), table{rows: [][]string{{d.Source}}, value: d})
		},
	}
}

// history returns the stored versions of a template, newest first, and the client that it
// used.
func history(c *cobra.Command, o *options, name string) (*adminapi.Client, []*adminapi.Document, error) {
	client, err := o.client()
	if err != nil {
		return nil, nil, err
	}
	list, err := client.TemplateHistory(c.Context(), &adminapi.TemplateHistoryPayload{Token: o.bearer(), Template: name})
	return client, list, err
}

func historyCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "history NAME",
		Short: "List the last published versions, newest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			_, list, err := history(c, o, arguments[0])
			if err != nil {
				return err
			}
			var all []*adminapi.Revision
			for _, d := range list {
				all = append(all, d.Revision)
			}
			return o.print(c.OutOrStdout(), revisions(all))
		},
	}
}

func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what publishing a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			t, err := readTemplate(arguments[0])
			if err != nil {
				return err
			}
			_, list, err := history(c, o, t.Name())
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), difference("in force", list[0].Source, arguments[0], t.Source()))
			return err
		},
	}
}

func rollbackCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:     "rollback NAME SEQUENCE",
		Short:   "Publish an earlier version again, under a new sequence",
		Example: "  eiderctl template rollback montevideo 12 --wait",
		Args:    cobra.ExactArgs(2),
	}
	wait := waitFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		sequence, err := strconv.ParseUint(arguments[1], 10, 64)
		if err != nil {
			return &exitError{errors.Errorf("%q is not a sequence number", arguments[1]), exitUsage}
		}
		_, list, err := history(c, o, arguments[0])
		if err != nil {
			return err
		}
		for _, d := range list {
			if d.Revision.Sequence == sequence {
				base := list[0].Revision.Sequence
				return publish(c, o, wait, &adminapi.PublishTemplatePayload{Template: arguments[0], Source: d.Source, Base: &base})
			}
		}
		return &exitError{errors.Errorf("sequence %d is not among the last %d versions of %s", sequence, len(list), arguments[0]), exitMissing}
	}
	return c
}
