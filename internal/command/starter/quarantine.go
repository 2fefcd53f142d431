package starter

import (
	"strings"

	"github.com/go-faster/jx"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

func quarantineCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "quarantine",
		Short:   "List and release the prompts that are refused because they crash endpoints",
		Example: "  foxtailflow quarantine list\n  foxtailflow quarantine release e36cef8928ed9196",
	}
	o.addNodeFlags(cmd)
	cmd.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the prompt patterns in force",
		Long:    "List the prompt patterns in force: the parts that a prompt has together, and the\nendpoints that have crashed under such prompts.\n\n" + exitCodes,
		Example: "  foxtailflow quarantine list --output json",
		Args:    cobra.NoArgs,
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, _ []string) (*printer.Result, error) {
			patterns, err := c.Quarantine(cmd.Context())
			if err != nil {
				return nil, err
			}
			return quarantineResult(patterns), nil
		}),
	}, &cobra.Command{
		Use:     "release ID",
		Short:   "Release a prompt pattern",
		Long:    "Release a prompt pattern on all nodes. Prompts with it reach endpoints again; if\nthey still crash them, they are refused again after three crashes.\n\n" + exitCodes,
		Example: "  foxtailflow quarantine release e36cef8928ed9196",
		Args:    cobra.ExactArgs(1),
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error) {
			if err := c.Release(cmd.Context(), args[0]); err != nil {
				return nil, err
			}
			return &printer.Result{Text: "pattern " + args[0] + " is released", Encode: func(e *jx.Encoder) {
				e.Field("id", func(e *jx.Encoder) { e.Str(args[0]) })
			}}, nil
		}),
	})
	return cmd
}

func quarantineResult(patterns []requester.Pattern) *printer.Result {
	rows := [][]string{{"ID", "PARTS", "CRASHED"}}
	for _, p := range patterns {
		rows = append(rows, []string{p.ID, strings.Join(p.Parts, ","), strings.Join(p.Endpoints, ",")})
	}
	return &printer.Result{Rows: rows, Encode: func(e *jx.Encoder) {
		e.Field("patterns", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, p := range patterns {
					e.Obj(func(e *jx.Encoder) {
						e.Field("id", func(e *jx.Encoder) { e.Str(p.ID) })
						e.Field("parts", func(e *jx.Encoder) { encodeStrings(e, p.Parts) })
						e.Field("endpoints", func(e *jx.Encoder) { encodeStrings(e, p.Endpoints) })
					})
				}
			})
		})
	}}
}
