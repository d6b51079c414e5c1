package main

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"eiderfold/keys"
)

const (
	certificateSuffix = ".crt"
	keySuffix         = ".key"
	publicMode        = 0o644
	privateMode       = 0o600
)

func keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "Create the keys of a fleet"}
	c.AddCommand(authorityCommand(), nodeKeyCommand())
	return c
}

func authorityCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "authority",
		Short:   "Create a certificate authority",
		Example: "  eiderfold keys authority --name montevideo --out ca",
		Args:    cobra.NoArgs,
	}
	name := c.Flags().String("name", "eiderfold", "name of the fleet")
	out := c.Flags().String("out", "ca", "path of the files, without suffix")
	c.RunE = func(*cobra.Command, []string) error {
		a, err := keys.NewAuthority(*name)
		if err != nil {
			return err
		}
		return write(*out, a.Pair())
	}
	return c
}

func nodeKeyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "node",
		Short:   "Create a node's certificate and key",
		Example: "  eiderfold keys node --authority ca --name node-1 --address 10.0.0.1 --out node-1",
		Args:    cobra.NoArgs,
	}
	authority := c.Flags().String("authority", "ca", "path of the authority's files, without suffix")
	name := c.Flags().String("name", "", "name of the node")
	addresses := c.Flags().StringSlice("address", nil, "IP addresses that the node listens on")
	out := c.Flags().String("out", "node", "path of the files, without suffix")
	c.RunE = func(*cobra.Command, []string) error {
		pair, err := read(*authority)
		if err != nil {
			return err
		}
		a, err := keys.OpenAuthority(pair)
		if err != nil {
			return err
		}
		issued, err := a.Issue(*name, *addresses)
		if err != nil {
			return err
		}
		return write(*out, issued)
	}
	_ = c.MarkFlagRequired("name") // It fails only for an undefined flag.
	return c
}

func read(path string) (keys.Pair, error) {
	certificate, err := os.ReadFile(path + certificateSuffix)
	if err != nil {
		return keys.Pair{}, errors.Wrap(err, "authority")
	}
	key, err := os.ReadFile(path + keySuffix)
	return keys.Pair{Certificate: certificate, Key: key}, errors.Wrap(err, "authority")
}

func write(path string, p keys.Pair) error {
	if err := os.WriteFile(path+certificateSuffix, p.Certificate, publicMode); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.WriteFile(path+keySuffix, p.Key, privateMode), "write key")
}
