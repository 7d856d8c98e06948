package placement

import "time"

// EngineState is what an engine holds; see port.EngineState.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Loading is true while an order is being carried out.
	Loading bool
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64
}

// Kinds of order and roles, as in port.
const (
	LoadModel     = "load-model"
	LoadAdapter   = "load-adapter"
	UnloadAdapter = "unload-adapter"
	SetRole       = "set-role"

	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Order asks one engine to change what it holds; see port.Order.
type Order struct {
	ID      string
	Kind    string
	Fence   uint64
	Model   string
	Version string
	Adapter string
	Role    string
}

// Outcome is what the answer to an order says.
type Outcome uint8

// The outcomes. OutcomeUnknown is a lost answer, OutcomeNoEffect an order that was not sent or
// was refused for another reason than its fencing number.
const (
	OutcomeAccepted Outcome = iota
	OutcomeUnknown
	OutcomeNoEffect
	OutcomeFenced
)

// Server is one backend server of the service.
type Server struct {
	ID      string
	Leaving bool
}

// Action is something that the caller of a Planner has to do.
type Action interface{ action() }

// SendOrder asks for an order to be sent once. Its outcome is handed to Answered.
type SendOrder struct {
	Server string
	Order  Order
	// Reason says why, for the audit trail.
	Reason string
	// WeightsMiB is the size of what the engine fetches; zero for none.
	WeightsMiB int
}

// ReadState asks for a server's state. It is handed to Observed.
type ReadState struct{ Server string }

// RolloutHalted reports that a change of version stopped and goes back.
type RolloutHalted struct {
	Model, Version, PreviousVersion, Reason string
}

// StepDown reports that an engine knows a newer owner.
type StepDown struct{ Server string }

func (SendOrder) action()     {}
func (ReadState) action()     {}
func (RolloutHalted) action() {}
func (StepDown) action()      {}

// Settings holds the times of a Planner.
type Settings struct {
	// ConfirmationTTL is how long orders may be issued after the owner last read back a
	// record under its epoch.
	ConfirmationTTL time.Duration
	// SendTimeout bounds the time from a plan to the sending of its orders, in
	// which weights are reserved. The caller sends no order later.
	SendTimeout time.Duration
	// ReadInterval is the time between two reads of a server's state.
	ReadInterval time.Duration
	// ResendDelay is the wait before an order without an answer or a visible
	// effect is sent again.
	ResendDelay time.Duration
	// SoakTime is how long a step of a version change runs before the next.
	SoakTime time.Duration
	// RolloutShares are the shares of a model's servers in the steps after the first one.
	RolloutShares []float64
	// HaltAfterFailures is the number of failed orders that halt a version change.
	HaltAfterFailures int
	// MinRetryDelay and MaxRetryDelay bound the wait after a failed order; it doubles.
	MinRetryDelay, MaxRetryDelay time.Duration
}

// DefaultSettings returns the values used in production.
func DefaultSettings() Settings {
	return Settings{
		ConfirmationTTL:   5 * time.Second,
		SendTimeout:       3 * time.Second,
		ReadInterval:      5 * time.Second,
		ResendDelay:       30 * time.Second,
		SoakTime:          time.Minute,
		RolloutShares:     []float64{0.25, 0.5, 1},
		HaltAfterFailures: 2,
		MinRetryDelay:     10 * time.Second,
		MaxRetryDelay:     10 * time.Minute,
	}
}
