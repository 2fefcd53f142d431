package starter

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/jx"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

func keyCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "key",
		Short:   "Create and withdraw the keys of client accounts",
		Example: "  foxtailflow key create baden\n  foxtailflow key withdraw key-0f12",
	}
	o.addNodeFlags(cmd)
	cmd.AddCommand(&cobra.Command{
		Use:     "create ACCOUNT",
		Short:   "Create a key for a client account and print its secret",
		Long:    "Create a key for a client account. The secret is printed once and is not\nstored. The key works on all nodes once the command has returned.\n\n" + exitCodes,
		Example: "  foxtailflow key create baden",
		Args:    cobra.ExactArgs(1),
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error) {
			k, err := c.CreateKey(cmd.Context(), args[0])
			if err != nil {
				return nil, err
			}
			if !k.Change.InForce {
				err = notInForce(k.Change)
			}
			return keyResult(k), err
		}),
	}, &cobra.Command{
		Use:     "withdraw ID",
		Short:   "Withdraw a key",
		Long:    "Withdraw a key by its identifier. No node accepts it once the command has\nreturned; requests already sent to an endpoint are completed.\n\n" + exitCodes,
		Example: "  foxtailflow key withdraw key-0f12",
		Args:    cobra.ExactArgs(1),
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error) {
			change, err := c.WithdrawKey(cmd.Context(), args[0])
			return changeResult(change, "key "+args[0]+" is withdrawn", err)
		}),
	})
	return cmd
}

func keyResult(k requester.Key) *printer.Result {
	return &printer.Result{
		Rows: [][]string{{"id", k.ID}, {"client-account", k.Account}, {"file", k.File}, {"secret", k.Secret}},
		Encode: func(e *jx.Encoder) {
			e.Field("id", func(e *jx.Encoder) { e.Str(k.ID) })
			e.Field("client-account", func(e *jx.Encoder) { e.Str(k.Account) })
			e.Field("file", func(e *jx.Encoder) { e.Str(k.File) })
			e.Field("secret", func(e *jx.Encoder) { e.Str(k.Secret) })
			encodeChange(e, k.Change)
		},
	}
}

func statusCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of a node and of the nodes it knows",
		Long: "Show the registered nodes and the status of the called node: its configuration\n" +
			"version, the versions in force on the nodes known from recent updates, whether\n" +
			"it serves requests with keys, whether it can reach the store, and its duties.\n" +
			"A node that was killed stays registered until it starts again.\n\n" + exitCodes,
		Example: "  foxtailflow status\n  foxtailflow status --output json",
		Args:    cobra.NoArgs,
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, _ []string) (*printer.Result, error) {
			s, err := c.Status(cmd.Context())
			if err != nil {
				return nil, err
			}
			return statusResult(s), nil
		}),
	}
	o.addNodeFlags(cmd)
	return cmd
}

func statusResult(s requester.Status) *printer.Result {
	rows := [][]string{{"NODE", "DATA-CENTRE", "PEERS", "OPERATORS"}}
	for _, n := range s.Nodes {
		rows = append(rows, []string{n.ID, n.DataCentre, n.PeersAddress, n.OperatorsAddress})
	}
	store, keys := "does not answer", "refused"
	if s.StoreReachable {
		store = "answers"
	}
	if s.Current {
		keys = "served"
	}
	lines := []string{fmt.Sprintf("%s: version %d, requests with keys are %s, the store %s, duties: %s",
		s.Node, s.Version, keys, store, strings.Join(s.Duties, ", "))}
	for _, v := range s.Versions {
		lines = append(lines, fmt.Sprintf("version %d is in force on %d nodes", v.Version, v.Nodes))
	}
	return &printer.Result{Rows: rows, Text: strings.Join(lines, "\n"), Encode: func(e *jx.Encoder) { encodeStatus(e, s) }}
}

func encodeStatus(e *jx.Encoder, s requester.Status) {
	e.Field("node", func(e *jx.Encoder) { e.Str(s.Node) })
	e.Field("version", func(e *jx.Encoder) { e.UInt64(s.Version) })
	e.Field("current", func(e *jx.Encoder) { e.Bool(s.Current) })
	e.Field("store-reachable", func(e *jx.Encoder) { e.Bool(s.StoreReachable) })
	e.Field("nodes", func(e *jx.Encoder) {
		e.Arr(func(e *jx.Encoder) {
			for _, n := range s.Nodes {
				e.Obj(func(e *jx.Encoder) { encodeNode(e, n) })
			}
		})
	})
	e.Field("versions", func(e *jx.Encoder) {
		e.Arr(func(e *jx.Encoder) {
			for _, v := range s.Versions {
				e.Obj(func(e *jx.Encoder) {
					e.Field("version", func(e *jx.Encoder) { e.UInt64(v.Version) })
					e.Field("nodes", func(e *jx.Encoder) { e.Int(v.Nodes) })
				})
			}
		})
	})
	e.Field("duties", func(e *jx.Encoder) { encodeStrings(e, s.Duties) })
}

func encodeNode(e *jx.Encoder, n requester.Node) {
	e.Field("id", func(e *jx.Encoder) { e.Str(n.ID) })
	e.Field("data-centre", func(e *jx.Encoder) { e.Str(n.DataCentre) })
	e.Field("peers-address", func(e *jx.Encoder) { e.Str(n.PeersAddress) })
	e.Field("operators-address", func(e *jx.Encoder) { e.Str(n.OperatorsAddress) })
}

func explainCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG]...",
		Short: "Explain the decisions on a request from the logs of nodes",
		Long: "Explain the decisions on a request or a deployment from the logs of nodes: what\n" +
			"was chosen, what was rejected, and why. Without a log file the command reads\n" +
			"standard input. The request ID is in the response header Foxtailflow-Request-Id.\n\n" + exitCodes,
		Example: "  foxtailflow explain req-0f12 node-1.log node-2.log\n  foxtailflow explain wichse-llm < node-1.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := o.printer(cmd)
			if err != nil {
				return err
			}
			found, err := readLogs(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			text, err := found.Text()
			if err != nil {
				return err
			}
			return p.Print(printer.Result{Text: text, Encode: found.Encode})
		},
	}
}

// readLogs finds decisions in the log files, in the given order, or in standard
// input if there are none.
func readLogs(stdin io.Reader, id string, paths []string) (printer.Decisions, error) {
	if len(paths) == 0 {
		return printer.ReadDecisions(stdin, id)
	}
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return printer.Decisions{}, coder.Refuse(coder.CommandUsage, "the log file cannot be read").WithCause(err)
		}
		defer func() { _ = f.Close() }()
		// The added newline separates a last line without one from the next file.
		logs = append(logs, f, strings.NewReader("\n"))
	}
	return printer.ReadDecisions(io.MultiReader(logs...), id)
}
