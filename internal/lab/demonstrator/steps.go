package demonstrator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"foxtailflow.example/foxtailflow/internal/command/printer"
)

// errNoRefusal says that a request was answered.
var errNoRefusal = errors.New("the request was answered")

// usageTotals are usage counts summed over requests.
type usageTotals struct {
	requests     int64
	promptTokens int64
	outputTokens int64
}

func (d *Demo) client(node int, secret string, resp **http.Response) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(d.cluster.CallersURL(node)+"/v1"),
		option.WithAPIKey(secret),
		option.WithMaxRetries(0),
		option.WithResponseInto(resp),
	)
}

func chatParams(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

func (d *Demo) addUsage(u openai.CompletionUsage) {
	d.callerUsage.requests++
	d.callerUsage.promptTokens += u.PromptTokens
	d.callerUsage.outputTokens += u.CompletionTokens
}

// showStream streams a response and prints the decisions on the request.
func (d *Demo) showStream(ctx context.Context) error {
	const words = 12
	var resp *http.Response
	client := d.client(0, callerSecret, &resp)
	params := chatParams("Which hold suits damp weather?", words)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	var usage openai.CompletionUsage
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
		if u := stream.Current().Usage; u.TotalTokens > 0 {
			usage = u
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if n := len(strings.Fields(text.String())); n != words || usage.CompletionTokens != words {
		return fmt.Errorf("the stream has %d words and %d tokens, not %d", n, usage.CompletionTokens, words)
	}
	d.addUsage(usage)
	id := resp.Header.Get("Foxtailflow-Request-Id")
	d.printf("   %s:%s", id, text.String())
	decisions, err := printer.ReadDecisions(d.log.snapshot(), id)
	if err != nil {
		return err
	}
	explanation, err := decisions.Text()
	if err != nil {
		return err
	}
	d.printIndented(explanation)
	return nil
}

// showOrder sends the same order to two nodes; both respond and it runs once.
func (d *Demo) showOrder(ctx context.Context) error {
	const order = "two crates of wax"
	header := map[string]string{"Authorization": "Bearer " + callerSecret, "Idempotency-Key": "order-4711"}
	first, err := d.post(ctx, 1, "/orders", order, header)
	if err != nil {
		return err
	}
	// A response is recorded after it is sent; until then a repeat of the request
	// is refused as in progress.
	var second response
	err = d.await(ctx, 3*time.Second, func() (bool, error) {
		second, err = d.post(ctx, 2, "/orders", order, header)
		return second.status != http.StatusConflict, err
	})
	if err != nil {
		return err
	}
	d.printf("   first response, node 2:  %d %s", first.status, first.body)
	d.printf("   second response, node 3: %d %s (replayed: %s)", second.status, second.body, second.header.Get("Foxtailflow-Replayed"))
	runs := d.cluster.Services[0].Runs(order)
	d.printf("   runs at the service: %d", runs)
	if first.status != http.StatusOK || second.status != first.status || second.body != first.body || runs != 1 {
		return errors.New("the order did not run exactly once with the same response from both nodes")
	}
	return nil
}

// showWithdrawal creates a key, uses it, withdraws it, and checks that every
// node refuses it and still accepts the other key.
func (d *Demo) showWithdrawal(ctx context.Context) error {
	key, err := d.operatorClient(0).CreateKey(ctx, "olten")
	if err != nil {
		return err
	}
	if !key.Change.InForce {
		return errors.New("the new key is not in force")
	}
	var resp *http.Response
	olten := d.client(1, key.Secret, &resp)
	if _, err := olten.Models.List(ctx); err != nil {
		return fmt.Errorf("the new key does not work: %w", err)
	}
	d.printf("   key %s of olten works", key.ID)
	start := d.clock.Now()
	change, err := d.operatorClient(2).WithdrawKey(ctx, key.ID)
	if err != nil {
		return err
	}
	d.printf("   withdrawn by version %d, in force after %v", change.Version, d.clock.Now().Sub(start).Round(time.Millisecond))
	if !change.InForce {
		return errors.New("the withdrawal is not in force")
	}
	for node := range d.cluster.Nodes {
		c := d.client(node, key.Secret, &resp)
		_, err := c.Chat.Completions.New(ctx, chatParams("May I still ask?", 4))
		var refusal *openai.Error
		if !errors.As(err, &refusal) || refusal.StatusCode != http.StatusUnauthorized {
			return fmt.Errorf("node %d did not refuse the withdrawn key: %w", node+1, cmp.Or(err, errNoRefusal))
		}
		d.printf("   node %d: %d, code %s, %s", node+1, refusal.StatusCode, refusal.Code, resp.Header.Get("Foxtailflow-Outcome"))
		baden := d.client(node, callerSecret, &resp)
		if _, err := baden.Models.List(ctx); err != nil {
			return fmt.Errorf("node %d refused a valid key: %w", node+1, err)
		}
	}
	d.printf("   all three nodes still accept the key of baden")
	return nil
}

// showUsage stops the nodes that hold usage, compares the reported usage with
// the usage in the responses, and sends a request to the remaining node.
func (d *Demo) showUsage(ctx context.Context) error {
	for _, node := range []int{0, 1, 1} {
		c := d.client(node, callerSecret, new(*http.Response))
		completion, err := c.Chat.Completions.New(ctx, chatParams("Which wax is firm?", 8))
		if err != nil {
			return err
		}
		d.addUsage(completion.Usage)
	}
	d.cluster.StopNode(0)
	d.cluster.StopNode(1)
	d.printf("   nodes 1 and 2 have stopped")
	var reported usageTotals
	err := d.await(ctx, usageTimeout, func() (bool, error) {
		reported = d.reportedUsage()
		return reported.requests >= d.callerUsage.requests, nil
	})
	d.printf("   in responses: %s", d.callerUsage)
	d.printf("   reported:     %s", reported)
	if err != nil {
		return err
	}
	if reported != d.callerUsage {
		return errors.New("the reported usage differs from the usage in the responses")
	}
	third := d.client(2, callerSecret, new(*http.Response))
	if _, err := third.Chat.Completions.New(ctx, chatParams("Is anybody there?", 4)); err != nil {
		return fmt.Errorf("the third node does not serve requests: %w", err)
	}
	d.printf("   node 3 still serves requests")
	return nil
}

// usageTimeout is longer than the takeover of a duty whose lease was not
// released (7 s) plus a usage window of 1 s.
const usageTimeout = 10 * time.Second

// String formats the totals for display.
func (t usageTotals) String() string {
	return fmt.Sprintf("%d requests, %d prompt tokens, %d output tokens", t.requests, t.promptTokens, t.outputTokens)
}

// reportedUsage sums the usage of the model in the reports that the platform
// has received.
func (d *Demo) reportedUsage() usageTotals {
	var sum usageTotals
	for _, r := range d.cluster.Platform.Reports() {
		for _, f := range r.Figures {
			if f.Account == "baden" && f.Model == model {
				sum.requests += f.Requests
				sum.promptTokens += f.PromptTokens
				sum.outputTokens += f.OutputTokens
			}
		}
	}
	return sum
}

// await polls a condition until it holds, at most for the given time.
func (d *Demo) await(ctx context.Context, limit time.Duration, condition func() (bool, error)) error {
	const pause = 50 * time.Millisecond
	for deadline := d.clock.Now().Add(limit); d.clock.Now().Before(deadline); {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		if err := d.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	return fmt.Errorf("the expected state was not reached within %v", limit)
}
