package main

import "github.com/spf13/cobra"

func capacityCommand() *cobra.Command {
	return &cobra.Command{Use: "capacity", Hidden: true}
}
