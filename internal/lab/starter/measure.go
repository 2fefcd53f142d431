package starter

import (
	"time"

	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/measurer"
)

// measureCommand compares the decision policies with baselines; it is bounded
// in time and uses no network.
func measureCommand() *cobra.Command {
	m := measurer.PolicyComparison{}
	var seeds int
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Compare the decision policies with baselines",
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
	cmd.Flags().StringVar(&m.PlanName, "policy", "", "name of the only policy to run")
	return cmd
}

// outcomesCommand measures outcomes in one process over loopback; the number of
// requests is bounded.
func outcomesCommand() *cobra.Command {
	o := measurer.Outcomes{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-outcomes",
		Short:   "Compare the outcomes sent to callers with what ran, under faults",
		Example: "  foxtailflow-lab measure-outcomes --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Out = cmd.OutOrStdout()
			return o.Run(cmd.Context())
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the load")
	cmd.Flags().IntVar(&o.CalmRequests, "calm", 2000, "requests without faults")
	cmd.Flags().IntVar(&o.FaultyRequests, "faults", 6000, "requests with faults")
	cmd.Flags().IntVar(&o.StopRequests, "stops", 2000, "requests while nodes are stopped in turn")
	cmd.Flags().IntVar(&o.Rate, "rate", 150, "requests per second")
	return cmd
}

// latencyCommand measures the latency that a node adds; it is bounded in time.
func latencyCommand() *cobra.Command {
	l := measurer.Latency{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-latency",
		Short:   "Measure the latency that a node adds to a request",
		Example: "  foxtailflow-lab measure-latency --rate 1000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l.Out = cmd.OutOrStdout()
			return l.Run(cmd.Context())
		},
	}
	cmd.Flags().IntVar(&l.Rate, "rate", 1000, "requests per second")
	cmd.Flags().DurationVar(&l.Duration, "time", 10*time.Second, "duration for each kind of request")
	return cmd
}

// acceptanceCommand measures how long a change takes to be in force; the number
// of changes is bounded.
func acceptanceCommand() *cobra.Command {
	a := measurer.ConfigPropagation{Clock: timekeeper.System{}}
	cmd := &cobra.Command{
		Use:     "measure-acceptance",
		Short:   "Measure how long a change of the configuration takes to be in force",
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
