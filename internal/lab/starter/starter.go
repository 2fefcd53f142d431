// Package starter is the command line of the stand-ins, experiments and
// demonstration.
package starter

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/lab/demonstrator"
)

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailflow-lab:", err)
		return 1
	}
	return 0
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailflow-lab",
		Short:         "Run stand-ins and experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand())
	root.AddCommand(measureCommand())
	root.AddCommand(outcomesCommand(), latencyCommand(), acceptanceCommand())
	root.AddCommand(standInCommands()...)
	root.AddCommand(relayCommand())
	return root
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Demonstrate a complete system in one process",
		Example: "  foxtailflow-lab demo",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := demonstrator.Demo{Out: cmd.OutOrStdout()}
			return d.Run(cmd.Context())
		},
	}
}
