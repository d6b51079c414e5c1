package main

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	adminapi "eiderfold/gen/admin"
)

func accountCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "account", Short: "Manage the client accounts of a template"}
	c.AddCommand(setCommand(o), showAccountCommand(o), listAccountsCommand(o), removeCommand(o))
	return c
}

func setCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:     "set TEMPLATE ACCOUNT [PARAMETER=VALUE...]",
		Short:   "Instantiate a template for a client account, or change its parameters",
		Example: "  eiderctl account set montevideo oficina-07 office=7 lookup_timeout=800ms --wait",
		Args:    cobra.MinimumNArgs(2),
	}
	base := c.Flags().Uint64("base", 0, "refuse the change unless this sequence of the account is in force")
	id := c.Flags().String("publish-id", "", "repeat the change with this publish id, whose response was lost")
	wait := waitFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		parameters := map[string]string{}
		for _, text := range arguments[2:] {
			name, value, ok := strings.Cut(text, "=")
			if !ok {
				return &exitError{errors.Errorf("%q is not of the form PARAMETER=VALUE", text), exitUsage}
			}
			parameters[name] = value
		}
		client, err := o.client()
		if err != nil {
			return err
		}
		if *id == "" {
			*id = newPublishID()
		}
		r, err := client.SetAccount(c.Context(), &adminapi.SetAccountPayload{
			Token: o.bearer(), Template: arguments[0], Account: arguments[1],
			Parameters: parameters, PublishID: *id, Base: base,
		})
		if err != nil {
			return errors.Wrapf(err, "publish id %s", *id)
		}
		if err := o.print(c.OutOrStdout(), revisions([]*adminapi.Revision{r})); err != nil {
			return err
		}
		return wait.until(c, o, client, r)
	}
	return c
}

func removeCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:   "remove TEMPLATE ACCOUNT",
		Short: "Remove a client account",
		Args:  cobra.ExactArgs(2),
	}
	wait := waitFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		client, err := o.client()
		if err != nil {
			return err
		}
		r, err := client.RemoveAccount(c.Context(), &adminapi.RemoveAccountPayload{
			Token: o.bearer(), Template: arguments[0], Account: arguments[1], PublishID: newPublishID(),
		})
		if err != nil {
			return err
		}
		if err := o.print(c.OutOrStdout(), revisions([]*adminapi.Revision{r})); err != nil {
			return err
		}
		return wait.until(c, o, client, r)
	}
	return c
}

func showAccountCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show TEMPLATE ACCOUNT",
		Short: "Print a client account's parameters",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			d, err := client.ShowAccount(c.Context(), &adminapi.ShowAccountPayload{Token: o.bearer(), Template: arguments[0], Account: arguments[1]})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), table{rows: [][]string{{d.Source}}, value: d})
		},
	}
}

func listAccountsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list TEMPLATE",
		Short: "List a template's client accounts",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.ListAccounts(c.Context(), &adminapi.ListAccountsPayload{Token: o.bearer(), Template: arguments[0]})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), revisions(list))
		},
	}
}
