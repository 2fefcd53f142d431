package starter

import (
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/lab/measurer"
)

// measureCommand runs the experiments; it is bounded in time and uses no
// network.
func measureCommand() *cobra.Command {
	m := measurer.Measurer{}
	var seeds int
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Measure the decisions beside baselines",
		Example: "  foxtailflow-lab measure --seeds 3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m.Out = cmd.OutOrStdout()
			for i := range seeds {
				m.Seeds = append(m.Seeds, uint64(i+1))
			}
			m.Run()
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of runs of each policy, with seeds from 1")
	cmd.Flags().StringVar(&m.Only, "policy", "", "name of the only policy to run")
	return cmd
}
