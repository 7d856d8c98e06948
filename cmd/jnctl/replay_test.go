package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// Guards against counting truncated or refused responses as answered, and against
// replaying batch items and faults as online requests.
func TestReplayCountsOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case strings.Contains(string(body), "request 0"):
			_, _ = io.WriteString(w, "data: {}\n\ndata: [DONE]\n\n")
		case strings.Contains(string(body), "request 1"):
			_, _ = io.WriteString(w, "data: {}\n\n")
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	r := &replayer{client: callerFlags{Address: server.URL}.client(), model: "m", firstByte: newHistogram(), total: newHistogram(),
		inFlight: make(chan struct{}, 1), result: replayResult{Failed: map[string]int{}}}
	online := trace.Event{Class: trace.Online, PromptTokens: 8, OutputTokens: 1}
	r.replay(context.Background(), []trace.Event{online, online, online, {Class: trace.Batch}, {Fault: trace.Crash}}, 1, 0)
	result := r.summary()
	failed := 0
	for _, n := range result.Failed {
		failed += n
	}
	if result.Sent != 3 || result.Answered != 1 || failed != 2 || result.Failed["answer cut off"] != 1 || result.NotReplayed != 2 {
		t.Fatalf("%+v", result)
	}
}
