package measurer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

// ConfigPropagation measures how long a configuration change takes to be in force on
// all nodes.
type ConfigPropagation struct {
	Out     io.Writer
	Clock   timekeeper.Clock
	Nodes   int
	Changes int
	// DataCentres is the number of data centres that the nodes are spread over.
	DataCentres int
}

// Run makes changes through each node in turn, and prints the time until the last
// node had each change and the time until the operator had the response, rounded
// to a tenth of a millisecond.
func (a *ConfigPropagation) Run(ctx context.Context) error {
	const credential = "operator"
	settings := assembler.Settings{
		Nodes: a.Nodes, Files: assembler.Configuration("caller", ""),
		ModelDeployment: assembler.ModelDeployment, PlainDeployment: assembler.PlainDeployment,
		OperatorSecret: credential, Log: zerolog.Nop(),
	}
	for i := range a.DataCentres {
		settings.DataCentres = append(settings.DataCentres, fmt.Sprintf("dc-%d", i+1))
	}
	cluster, err := assembler.New(ctx, settings)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	var propagationTimes, responseTimes []time.Duration
	for i := range a.Changes {
		client := requester.Client{Address: cluster.Nodes[i%a.Nodes].OperatorsAddress(), Credential: credential}
		began := a.Clock.Now()
		propagated := make(chan time.Duration, 1)
		stop := make(chan struct{})
		var wg conc.WaitGroup
		wg.Go(func() { a.watch(cluster, began, propagated, stop) })
		change, err := client.Put(ctx, fmt.Sprintf("change-%d.ini", i), fmt.Appendf(nil, "[client-account \"a%d\"]\n", i), 0)
		close(stop)
		wg.Wait()
		if err != nil {
			return err
		}
		if !change.InForce {
			return fmt.Errorf("change %d is not in force", i)
		}
		responseTimes = append(responseTimes, a.Clock.Now().Sub(began))
		propagationTimes = append(propagationTimes, <-propagated)
	}
	a.print("in force on the last node", propagationTimes)
	a.print("answer", responseTimes)
	return nil
}

// watch sends the time until all nodes have the configuration that follows the
// current one.
func (a *ConfigPropagation) watch(cluster *assembler.Cluster, began time.Time, propagated chan<- time.Duration, stop <-chan struct{}) {
	const pollInterval = time.Millisecond
	cfg, _ := cluster.Nodes[0].Config()
	for next := cfg.Version() + 1; ; {
		anyBehind := slices.ContainsFunc(cluster.Nodes, func(n *composer.Node) bool {
			cfg, err := n.Config()
			return err != nil || cfg.Version() < next
		})
		if !anyBehind {
			propagated <- a.Clock.Now().Sub(began)
			return
		}
		select {
		case <-stop:
			propagated <- a.Clock.Now().Sub(began)
			return
		case <-a.Clock.After(pollInterval):
		}
	}
}

func (a *ConfigPropagation) print(label string, times []time.Duration) {
	slices.Sort(times)
	_, _ = fmt.Fprintf(a.Out, "%d nodes, %d data centres, %d changes, %s: median %v, max %v\n",
		a.Nodes, max(a.DataCentres, 1), len(times), label, times[len(times)/2].Round(time.Millisecond/10), times[len(times)-1].Round(time.Millisecond/10))
}
