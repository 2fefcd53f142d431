// Package starter is the command line of the production program.
//
// It runs a node, and it has the commands by which operators drive the system.
package starter

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/node/assembler"
	"foxtailflow.example/foxtailflow/internal/node/configurer"
)

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailflow:", err)
		return 1
	}
	return 0
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailflow",
		Short:         "Serve model engines and plain services from a limited fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(nodeCommand())
	return root
}

func nodeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "node",
		Short:   "Run a node",
		Example: "  foxtailflow node --settings node.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runNode(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the node")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runNode(ctx context.Context, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return coder.Refuse(coder.SettingsBad, "settings cannot be read").WithCause(err)
	}
	s, err := configurer.Load(path, data)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return coder.Refuse(coder.SettingsBad, "settings %s: log-level", path).WithCause(err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	n, err := assembler.New(s, timekeeper.System{}, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
