// Package demonstrator shows the system at work in a few seconds.
//
// It starts a platform, two engines, a service and three nodes, sends real
// requests with an unmodified OpenAI client, and prints what came back. Each
// step checks what it shows; the first that is not so ends the demonstration.
package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
)

// Demo is one run of the demonstration.
type Demo struct {
	Out io.Writer

	world *assembler.World
	lines *decisionLines
}

const (
	callerSecret   = "ff-demo-caller"
	operatorSecret = "ff-demo-operator"
)

const configuration = `
[client-account "baden"]
share = 1

[key "key-baden"]
client-account = baden
hash = %s

[deployment "wichse-llm"]
kind = model
model = wichse-llm

[route "recipes"]
kind = model
model = wichse-llm
deployment = wichse-llm
deadline = 10s

[deployment "ladentisch"]
kind = plain

[route "orders"]
kind = plain
path = /orders
deployment = ladentisch
deadline = 5s
`

// Run shows all steps.
func (d *Demo) Run(ctx context.Context) error {
	d.lines = &decisionLines{}
	w, err := assembler.New(ctx, assembler.Plan{
		Nodes:           3,
		Engines:         2,
		Services:        1,
		Engine:          generator.Settings{Model: "wichse-llm", PrefillRate: 20_000, DecodeRate: 400, Slots: 16, Pieces: 1000},
		Files:           map[string]string{"demo.ini": fmt.Sprintf(configuration, authenticator.HashText(callerSecret))},
		ModelDeployment: "wichse-llm",
		PlainDeployment: "ladentisch",
		OperatorSecret:  operatorSecret,
		Log:             zerolog.New(d.lines),
	})
	if err != nil {
		return err
	}
	defer w.Stop()
	d.world = w
	for _, step := range []func(context.Context) error{d.showStream, d.showOrder} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// showStream streams an answer and prints the decision lines of the request.
func (d *Demo) showStream(ctx context.Context) error {
	var resp *http.Response
	client := openai.NewClient(
		option.WithBaseURL(d.world.Address(0)+"/v1"),
		option.WithAPIKey(callerSecret),
		option.WithMaxRetries(0),
		option.WithResponseInto(&resp),
	)
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     "wichse-llm",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which hold suits damp weather?")},
		MaxTokens: openai.Int(12),
	})
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if n := len(strings.Fields(text.String())); n != 12 {
		return fmt.Errorf("the stream has %d words, not 12", n)
	}
	id := resp.Header.Get("Foxtailflow-Request-Id")
	d.say("stream of request %s:%s", id, text.String())
	lines := d.lines.of(id)
	if len(lines) == 0 {
		return fmt.Errorf("there is no decision line for request %s", id)
	}
	d.say("decisions:")
	for _, l := range lines {
		d.say("  %s", l)
	}
	return nil
}

// showOrder places an order through a plain route.
func (d *Demo) showOrder(ctx context.Context) error {
	body, status, err := d.post(ctx, 1, "/orders", "two crates of wax", callerSecret)
	if err != nil {
		return err
	}
	if runs := d.world.Services[0].Runs("two crates of wax"); status != http.StatusOK || runs != 1 {
		return fmt.Errorf("the order was answered %d and ran %d times", status, runs)
	}
	d.say("order: %s", strings.TrimSpace(body))
	return nil
}

func (d *Demo) post(ctx context.Context, node int, path, body, secret string) (string, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.world.Address(node)+path, strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.StatusCode, err
}

// decisionLines keeps log lines in memory.
type decisionLines struct {
	mu    sync.Mutex
	lines []string
}

// Write keeps one line.
func (l *decisionLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(bytes.TrimSpace(p)))
	return len(p), nil
}

// of returns the decision lines of a request.
func (l *decisionLines) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		if strings.Contains(line, id) && strings.Contains(line, `"decision"`) {
			found = append(found, line)
		}
	}
	return found
}
