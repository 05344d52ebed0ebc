package local_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Runs the official OpenAI client library against the entry, unmodified and with its
// own retries.
func TestOpenAIClient(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 2})
	caller := openai.NewClient(option.WithBaseURL("http://"+r.Entries()[0].CallerAddr+"/v1"), option.WithAPIKey(local.Key))
	params := openai.ChatCompletionNewParams{
		Model:    local.ModelName,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("plan len=25")},
	}
	ctx := testContext(t)
	t.Run("whole", func(t *testing.T) {
		res, err := caller.Chat.Completions.New(ctx, params)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(strings.Fields(res.Choices[0].Message.Content)); n != 25 || res.Usage.CompletionTokens != 25 {
			t.Fatalf("%d tokens, usage %d", n, res.Usage.CompletionTokens)
		}
	})
	t.Run("stream with usage", func(t *testing.T) {
		p := params
		p.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := caller.Chat.Completions.NewStreaming(ctx, p)
		acc := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			acc.AddChunk(stream.Current())
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if n := len(strings.Fields(acc.Choices[0].Message.Content)); n != 25 || acc.Usage.CompletionTokens != 25 {
			t.Fatalf("%d tokens, usage %d", n, acc.Usage.CompletionTokens)
		}
	})
	t.Run("completions and max_tokens", func(t *testing.T) {
		res, err := caller.Completions.New(ctx, openai.CompletionNewParams{
			Model: local.ModelName, MaxTokens: openai.Int(7), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("len=25")},
		})
		if err != nil || len(strings.Fields(res.Choices[0].Text)) != 7 {
			t.Fatalf("error %v, response %v", err, res)
		}
	})
	t.Run("models", func(t *testing.T) {
		list, err := caller.Models.List(ctx)
		if err != nil || len(list.Data) != 1 || list.Data[0].ID != local.ModelName {
			t.Fatalf("error %v, list %v", err, list)
		}
	})
	t.Run("errors", func(t *testing.T) {
		p := params
		p.Model = "no-such-model"
		_, err := caller.Chat.Completions.New(ctx, p)
		var apiErr *openai.Error
		if !errors.As(err, &apiErr) || apiErr.StatusCode != http.StatusNotFound || apiErr.Code != "model_not_found" {
			t.Fatalf("error %v", err)
		}
	})
	t.Run("interrupted stream is an error", func(t *testing.T) {
		p := params
		p.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage("plan len=30000")}
		stream := caller.Chat.Completions.NewStreaming(ctx, p)
		for n := 0; stream.Next(); n++ {
			if n == 10 {
				runningNode(t, r).Engine.Close()
			}
		}
		if stream.Err() == nil {
			t.Fatal("an interrupted stream ended without an error")
		}
	})
}
