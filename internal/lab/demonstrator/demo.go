// Package demonstrator demonstrates the system in a few seconds.
//
// It starts a platform, two engines, a service and three nodes, sends real
// requests with an unmodified OpenAI client, and prints the responses. Each
// step checks its results; the first failed check ends the demonstration.
package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

// Demo is one run of the demonstration.
type Demo struct {
	Out io.Writer

	clock   timekeeper.Clock
	cluster *assembler.Cluster
	log     *logBuffer
	// callerUsage sums the usage in the responses to model requests.
	callerUsage usageTotals
}

const (
	callerSecret   = "ff-demo-caller"
	operatorSecret = "ff-demo-operator"
	model          = "wichse-llm"
)

const additionalConfig = `
[client-account "baden"]
share = 2

[client-account "olten"]

[limits]
usage-window = 1s
`

// Run runs all steps of the demonstration.
func (d *Demo) Run(ctx context.Context) error {
	d.clock = timekeeper.System{}
	d.log = &logBuffer{}
	start := d.clock.Now()
	w, err := assembler.New(ctx, assembler.Settings{
		Nodes:           3,
		Engines:         2,
		Services:        1,
		Engine:          generator.Settings{Model: model, PrefillRate: 20_000, DecodeRate: 400, Slots: 16, Blocks: 1000},
		Files:           assembler.Configuration(callerSecret, additionalConfig),
		ModelDeployment: "wichse-llm",
		PlainDeployment: "ladentisch",
		OperatorSecret:  operatorSecret,
		Log:             zerolog.New(d.log),
	})
	if err != nil {
		return err
	}
	defer w.Stop()
	d.cluster = w
	d.printf("A platform, two engines, a plain service and three nodes are running.")
	for i, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"A streamed response, and the decisions on it as printed by `explain`", d.showStream},
		{"An order sent twice with one Idempotency-Key", d.showOrder},
		{"A key that is withdrawn while other keys stay valid", d.showWithdrawal},
		{"Two nodes stop gracefully; the third reports the usage", d.showUsage},
	} {
		d.printf("\n%d. %s", i+1, step.name)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("step %d: %w", i+1, err)
		}
	}
	d.printf("\nAll steps passed in %v.", d.clock.Now().Sub(start).Round(100*time.Millisecond))
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// printIndented prints each line of a text with an indent.
func (d *Demo) printIndented(text string) {
	for line := range strings.SplitSeq(text, "\n") {
		d.printf("   %s", line)
	}
}

func (d *Demo) operatorClient(node int) requester.Client {
	return requester.Client{Address: d.cluster.Nodes[node].OperatorsAddress(), Credential: operatorSecret}
}

// response is a response as the caller receives it.
type response struct {
	status int
	header http.Header
	body   string
}

func (d *Demo) post(ctx context.Context, node int, path, body string, header map[string]string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.cluster.CallersURL(node)+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, strings.TrimSpace(string(data))}, err
}

// logBuffer holds the nodes' log in memory.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends one line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// snapshot returns a reader of the log so far.
func (l *logBuffer) snapshot() io.Reader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.NewReader(bytes.Clone(l.buf.Bytes()))
}
