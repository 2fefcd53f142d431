package director_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/director"
)

// TestScripts guards H1, H3 and H5, and the cost of a fleet: orders that are
// repeated without need, lost for good, sent after the lease, or that take an
// engine away before the nodes have heard of it. Each command is a fleet, a
// fault or time that passes, the output the orders.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0)), fails: make(map[string]error)}
		w.grant = leaser.Grant{Duty: director.Duty("llm"), Token: 1, Epoch: 1, Taken: w.clock.Now()}
		w.director = &director.Director[director.Filled]{
			Clock: w.clock, Log: zerolog.Nop(), Leases: w, Config: w.config, Of: w.of, Supplier: w, Engines: w,
			Policy:       director.Filled{Cheap: 0.5, Readers: 0.5, Occupancy: 0.8},
			TakeoverWait: time.Second,
		}
		datadriven.RunTest(t, path, w.do)
	})
}

type harness struct {
	clock      *timekeeper.Fake
	director   *director.Director[director.Filled]
	grant      leaser.Grant
	leaseLost       bool
	deployment definer.Deployment
	engines    []picker.Endpoint
	// fails has the results of orders of a tier, or of roles.
	fails  map[string]error
	orders []string
}

// Grant returns the lease unless another node holds it.
func (w *harness) Grant(string) (leaser.Grant, bool) { return w.grant, !w.leaseLost }

// Check trusts every lease.
func (w *harness) Check(leaser.Grant) error { return nil }

func (w *harness) config() (definer.Config, error) {
	return definer.New(definer.Definitions{Deployments: []definer.Deployment{w.deployment}}), nil
}

func (w *harness) of(string) []picker.Endpoint { return w.engines }

// Want takes an order of a number.
func (w *harness) Want(_ context.Context, g leaser.Grant, deployment string, c director.Count) error {
	return w.ordered(string(c.Tier), fmt.Sprintf("token %d: %s %s %s %d", g.Token, deployment, c.DataCentre, c.Tier, c.Want))
}

// Orders returns the number of orders that an engine has accepted.
func (w *harness) Orders(context.Context, picker.Endpoint) (uint64, error) { return 4, nil }

// SetRole takes an order of a role.
func (w *harness) SetRole(_ context.Context, g leaser.Grant, e picker.Endpoint, role picker.Role, accepted uint64) error {
	return w.ordered("role", fmt.Sprintf("token %d: %s is to %s after order %d", g.Token, e.ID, role, accepted))
}

func (w *harness) ordered(kind, text string) error {
	err := w.fails[kind]
	if err != nil {
		text += ": " + err.Error()
	}
	w.orders = append(w.orders, text)
	return err
}

func (w *harness) do(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "deployment":
		w.deploy(t, d)
	case "engines":
		w.engines = nil
		for line := range strings.Lines(d.Input) {
			w.engines = append(w.engines, w.engine(t, strings.Fields(line)))
		}
	case "fail":
		code := map[string]coder.Code{
			"none": coder.NoEndpoint, "stale": coder.StaleFencing, "unsure": coder.PlatformUnsure,
		}[d.CmdArgs[1].Key]
		w.fails[d.CmdArgs[0].Key] = coder.New(code, "as the script says")
	case "works":
		w.fails = make(map[string]error)
	case "lease":
		w.leaseLost = d.HasArg("lost")
		if d.HasArg("taken") {
			w.grant.Token, w.grant.Epoch, w.grant.Taken = w.grant.Token+1, w.grant.Epoch+1, w.clock.Now()
		}
	case "pass":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		for end := w.clock.Now().Add(span); w.clock.Now().Before(end); w.clock.Advance(250 * time.Millisecond) {
			if err := w.director.Run(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		return w.output()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// output returns the orders since the last time and the engines that change.
func (w *harness) output() string {
	var b strings.Builder
	for _, o := range w.orders {
		b.WriteString(o + "\n")
	}
	w.orders = nil
	if changing := slices.Sorted(maps.Keys(w.director.Changing())); len(changing) > 0 {
		fmt.Fprintf(&b, "changing %v\n", changing)
	}
	return b.String()
}

func (w *harness) deploy(t *testing.T, d *datadriven.TestData) {
	var limit, spotCost, boot int
	d.ScanArgs(t, "max", &limit)
	d.ScanArgs(t, "cheap", &spotCost)
	d.MaybeScanArgs(t, "boot-ms", &boot)
	w.deployment = definer.Deployment{
		Name: "llm", Kind: definer.Model, Slots: 4, RoleChange: 3 * time.Second, Fencing: definer.FencingChecked,
		Engine: definer.Engine{HandleLife: 3 * time.Second}, Boot: time.Duration(boot) * time.Millisecond,
	}
	if d.HasArg("unfenced") {
		w.deployment.Fencing = definer.FencingIgnored
	}
	if limit == 0 {
		return
	}
	for _, dc := range []string{"a", "b"} {
		w.deployment.Placements = append(w.deployment.Placements,
			definer.Placement{DataCentre: dc, Tier: definer.OnDemand, Max: limit, Cost: 100},
			definer.Placement{DataCentre: dc, Tier: definer.Spot, Max: limit, Cost: spotCost})
	}
}

// engine reads a line such as "e1 a spot prefill requests=2".
func (w *harness) engine(t *testing.T, words []string) picker.Endpoint {
	e := picker.Endpoint{
		ID: words[0], Address: words[0], DataCentre: words[1], Deployment: "llm",
		Tier: definer.Tier(words[2]), Report: picker.Report{Role: picker.Role(words[3])},
	}
	for _, word := range words[4:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "requests":
			n, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			e.Elsewhere.Requests = n
		case "leaving":
			e.Leaving = true
		default:
			t.Fatalf("unknown word %s", word)
		}
	}
	return e
}
