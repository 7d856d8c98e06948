package serving

import "time"

// Request is the information decoded from the headers of a caller's request.
type Request struct {
	// ID identifies one attempt of a caller.
	ID string
	// CallerTimeout is how long the caller waits for the response; zero if not stated.
	CallerTimeout time.Duration
	// ResumeAfter is the last event that the caller received; it is valid only if
	// IsResume is set.
	ResumeAfter int64
	IsResume    bool
	// Resumes is the ID of the caller's attempt that brought the first event of the stream;
	// empty if not stated.
	Resumes string
	// Model is the name of the model; empty if not stated.
	Model string
	// PromptTokens is the length of the prompt and OutputTokens the maximum length of
	// the output; zero if not stated.
	PromptTokens, OutputTokens int64
	// Prompt holds the segments of the prompt in order. The last one belongs to the request
	// itself or to its session; other requests may share the rest.
	Prompt []PromptSegment
}

// PromptSegment is a part of a prompt.
type PromptSegment struct {
	ID string
	// Tokens is its length; zero if not stated.
	Tokens int64
}

// SegmentIDs returns the IDs of the prompt's segments, for the log.
func (r *Request) SegmentIDs() []string {
	ids := make([]string, len(r.Prompt))
	for i := range r.Prompt {
		ids[i] = r.Prompt[i].ID
	}
	return ids
}

// Load is the load that a server reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes on the server at the moment, in percent of the usual time;
	// zero if the server does not state it.
	Pace int
}

// Response is the information decoded from the headers of a server's response.
type Response struct {
	// RequestID is the request ID that the server echoes; empty if it echoes none.
	RequestID string
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Signed is set if the response carries the server's signature.
	Signed bool
	// Server is the ID of the server that responded; empty if the response does not state it.
	Server string
	// Leaving is set if the server states that it is leaving.
	Leaving bool
	// Load is nil if the response does not report it.
	Load *Load
	// RateLimit is the number of requests a second that the server takes from all instances
	// together; zero if it states none.
	RateLimit float64
	// KeepAliveTimeout is the idle time after which the server closes the connection;
	// zero if not stated.
	KeepAliveTimeout time.Duration
}
