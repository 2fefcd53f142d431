package starter

import (
	"time"

	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/lab/measurer"
)

// membershipCommands are the measurements of docs/measurements-membership.md.
func membershipCommands() []*cobra.Command {
	a := measurer.Acceptance{}
	acceptance := &cobra.Command{
		Use:     "measure-acceptance",
		Short:   "Measure how quickly a change is in force",
		Example: "  foxtailflow-lab measure-acceptance --fault paused",
		Args:    cobra.NoArgs,
		Hidden:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a.Out = cmd.OutOrStdout()
			return a.Run(cmd.Context())
		},
	}
	acceptance.Flags().IntVar(&a.Nodes, "nodes", 9, "number of nodes")
	acceptance.Flags().IntVar(&a.Changes, "changes", 50, "number of changes")
	acceptance.Flags().StringVar(&a.Fault, "fault", "none", "none, paused or cut")
	acceptance.Flags().Uint64Var(&a.Seed, "seed", 1, "seed of the choices")
	c := measurer.Cost{}
	cost := &cobra.Command{
		Use:     "measure-gossip",
		Short:   "Measure what membership costs a node and the store",
		Example: "  foxtailflow-lab measure-gossip --sizes 3,9",
		Args:    cobra.NoArgs,
		Hidden:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Out = cmd.OutOrStdout()
			return c.Run(cmd.Context())
		},
	}
	cost.Flags().IntSliceVar(&c.Sizes, "sizes", []int{3, 9, 20, 60}, "numbers of nodes")
	cost.Flags().DurationVar(&c.For, "for", 60*time.Second, "time of each measurement")
	cost.Flags().IntVar(&c.Changes, "changes", 60, "number of changes in that time")
	return []*cobra.Command{acceptance, cost}
}
