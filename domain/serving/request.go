package serving

import "time"

// Request is what the headers of a caller's request say.
type Request struct {
	// ID names one attempt of a caller.
	ID string
	// CallerTimeout is the time that the caller waits; zero when it does not say.
	CallerTimeout time.Duration
	// ResumeAfter is the last event that the caller has, when Resumes is set.
	ResumeAfter int64
	IsResume    bool
	// PromptTokens and OutputTokens are the size of a generation; zero when the
	// request does not say.
	PromptTokens, OutputTokens int64
	// PromptPrefix holds the ids of the parts of the prompt, in order.
	PromptPrefix []string
}

// Load is the load that a server states in an answer.
type Load struct{ Running, Waiting, Slots int }

// Response is what the headers of a server's answer say.
type Response struct {
	// RequestID is the id that the server echoes; empty when it echoes none.
	RequestID string
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// Load is nil when the answer does not state it.
	Load *Load
	// KeepAliveTimeout is the idle time after which the server closes the connection; zero
	// when it does not say.
	KeepAliveTimeout time.Duration
}
