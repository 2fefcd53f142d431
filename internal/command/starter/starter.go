// Package starter implements the command line of the foxtailflow program.
//
// It has the command that runs a node, and the operators' commands. Every command
// ends with an exit code that tells scripts the kind of result: 0 for success,
// otherwise the hundreds digit of the result code.
package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/node/assembler"
	"foxtailflow.example/foxtailflow/internal/node/configurer"
)

const exitCodes = `Exit codes:
  0  success
  1  bad input or command line (results 1xx)
  2  authentication (2xx)
  3  configuration: errors, a conflicting change, or stored but not yet in force (3xx)
  4  limits and capacity (4xx)
  5  endpoints (5xx)
  6  platform (6xx)
  7  authority (7xx)
  8  idempotency (8xx)
  9  settings, unreachable node, internal errors (9xx)`

// codesPerGroup is the number of result codes in each group.
const codesPerGroup = 100

// Main runs the command line with the commands of this package and the extra ones,
// and returns the exit code.
func Main(extra ...*cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr, extra...)
}

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer, extra ...*cobra.Command) int {
	o := &operatorFlags{}
	root := rootCommand(o)
	root.AddCommand(extra...)
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var exit exitError
	if errors.As(err, &exit) {
		err = exit.cause
	}
	if err != nil {
		err = withResultCode(err)
		printer.Printer{Out: stderr, JSON: o.json()}.PrintError(err)
	}
	if exit.code != 0 {
		return exit.code
	}
	return int(coder.FromError(err).Code()) / codesPerGroup
}

// exitError ends a command with an exit code that is not that of its result code. A nil
// cause is not printed.
type exitError struct {
	cause error
	code  int
}

// Error returns the text of the cause.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d: %v", e.code, e.cause) }

// withResultCode returns err with a result code. Errors without one come from
// parsing the command line and get CommandUsage.
func withResultCode(err error) error {
	var f coder.Error
	if errors.As(err, &f) {
		return err
	}
	return coder.Refuse(coder.CommandUsage, "%v", err)
}

func rootCommand(o *operatorFlags) *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailflow",
		Short:         "Serve model engines and plain services from a limited fleet",
		Long:          "Serve model engines and plain services from a limited fleet.\n\n" + exitCodes,
		Example:       "  foxtailflow node --settings node.ini\n  foxtailflow status --node 10.0.0.1:7002 --credential-file operator.key",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&o.output, "output", outputText, "form of the output: text or json")
	root.AddCommand(nodeCommand(), configCommand(o), keyCommand(o), statusCommand(o), quarantineCommand(o), explainCommand(o))
	return root
}

func nodeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "node",
		Short:   "Run a node",
		Long:    "Run a node until SIGTERM or SIGINT, which stop it gracefully: it reports that\nit is not ready, finishes the requests in flight, and exits.\n\n" + exitCodes,
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
	reserver.LimitRuntime(s.MemoryBytes)
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
