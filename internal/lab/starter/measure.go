package starter

import (
	"time"

	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
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

// outcomesCommand measures outcomes in one process over loopback; it is bounded
// in requests.
func outcomesCommand() *cobra.Command {
	o := measurer.Outcomes{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-outcomes",
		Short:   "Compare what callers are told with what ran, under faults",
		Example: "  foxtailflow-lab measure-outcomes --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Out = cmd.OutOrStdout()
			return o.Run(cmd.Context())
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the load")
	cmd.Flags().IntVar(&o.Calm, "calm", 2000, "requests without faults")
	cmd.Flags().IntVar(&o.Faulty, "faults", 6000, "requests with faults")
	cmd.Flags().IntVar(&o.Stops, "stops", 2000, "requests while nodes are stopped in turn")
	cmd.Flags().IntVar(&o.Rate, "rate", 150, "requests a second")
	return cmd
}

// latencyCommand measures the time that a node adds; it is bounded in time.
func latencyCommand() *cobra.Command {
	l := measurer.Latency{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-latency",
		Short:   "Measure the time that a node adds to a call",
		Example: "  foxtailflow-lab measure-latency --rate 1000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l.Out = cmd.OutOrStdout()
			return l.Run(cmd.Context())
		},
	}
	cmd.Flags().IntVar(&l.Rate, "rate", 1000, "calls a second")
	cmd.Flags().DurationVar(&l.Time, "time", 10*time.Second, "time for each kind of call")
	return cmd
}

// acceptanceCommand measures how quickly a change is in force; it is bounded in
// changes.
func acceptanceCommand() *cobra.Command {
	a := measurer.Acceptance{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-acceptance",
		Short:   "Measure how quickly a change of the configuration is in force",
		Example: "  foxtailflow-lab measure-acceptance --nodes 9",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a.Out = cmd.OutOrStdout()
			return a.Run(cmd.Context())
		},
	}
	cmd.Flags().IntVar(&a.Nodes, "nodes", 9, "number of nodes")
	cmd.Flags().IntVar(&a.DataCentres, "data-centres", 4, "number of data centres")
	cmd.Flags().IntVar(&a.Changes, "changes", 50, "number of changes")
	return cmd
}
