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

// Acceptance measures how quickly a change of the configuration is in force.
type Acceptance struct {
	Out     io.Writer
	Clock   timekeeper.Clock
	Nodes   int
	Changes int
	// DataCentres is the number of data centres that the nodes are spread over.
	DataCentres int
}

// Run makes changes through one node after the other and prints, in milliseconds,
// when the last node had each and when the operator had the answer.
func (a *Acceptance) Run(ctx context.Context) error {
	const credential = "operator"
	p := assembler.Plan{
		Nodes: a.Nodes, Files: assembler.Configuration("caller", ""),
		ModelDeployment: assembler.ModelDeployment, PlainDeployment: assembler.PlainDeployment,
		OperatorSecret: credential, Log: zerolog.Nop(),
	}
	for i := range a.DataCentres {
		p.DataCentres = append(p.DataCentres, fmt.Sprintf("dc-%d", i+1))
	}
	w, err := assembler.New(ctx, p)
	if err != nil {
		return err
	}
	defer w.Stop()
	var everywhere, answered []time.Duration
	for i := range a.Changes {
		c := requester.Client{Node: w.Nodes[i%a.Nodes].OperatorsAddress(), Credential: credential}
		began := a.Clock.Now()
		seen := make(chan time.Duration, 1)
		stop := make(chan struct{})
		var wg conc.WaitGroup
		wg.Go(func() { a.watch(w, began, seen, stop) })
		change, err := c.Put(ctx, fmt.Sprintf("change-%d.ini", i), fmt.Appendf(nil, "[client-account \"a%d\"]\n", i), 0)
		close(stop)
		wg.Wait()
		if err != nil {
			return err
		}
		if !change.InForce {
			return fmt.Errorf("change %d is not in force", i)
		}
		answered = append(answered, a.Clock.Now().Sub(began))
		everywhere = append(everywhere, <-seen)
	}
	a.print("in force on the last node", everywhere)
	a.print("answer", answered)
	return nil
}

// watch tells when all nodes have the configuration that follows the present one.
func (a *Acceptance) watch(w *assembler.World, began time.Time, seen chan<- time.Duration, stop <-chan struct{}) {
	const pause = time.Millisecond
	cfg, _ := w.Nodes[0].Config()
	for next := cfg.Version() + 1; ; {
		behind := slices.ContainsFunc(w.Nodes, func(n *composer.Node) bool {
			cfg, err := n.Config()
			return err != nil || cfg.Version() < next
		})
		if !behind {
			seen <- a.Clock.Now().Sub(began)
			return
		}
		select {
		case <-stop:
			seen <- a.Clock.Now().Sub(began)
			return
		case <-a.Clock.After(pause):
		}
	}
}

func (a *Acceptance) print(what string, times []time.Duration) {
	slices.Sort(times)
	_, _ = fmt.Fprintf(a.Out, "%d nodes, %d data centres, %d changes, %s: median %v, max %v\n",
		a.Nodes, max(a.DataCentres, 1), len(times), what, times[len(times)/2].Round(time.Millisecond/10), times[len(times)-1].Round(time.Millisecond/10))
}
