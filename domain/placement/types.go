package placement

import "time"

// EngineState is the state of an engine; see port.EngineState.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Loading is set while the engine executes an order.
	Loading bool
	// Fence is the highest fencing number that the engine has accepted so far.
	Fence uint64
}

// Order kinds and roles, with the values of package port.
const (
	LoadModel     = "load-model"
	LoadAdapter   = "load-adapter"
	UnloadAdapter = "unload-adapter"
	SetRole       = "set-role"

	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Order tells an engine to change its state; see port.Order.
type Order struct {
	ID      string
	Kind    string
	Fence   uint64
	Model   string
	Version string
	Adapter string
	Role    string
}

// Outcome is the outcome of sending an order.
type Outcome uint8

// The outcomes of sending an order.
const (
	// OutcomeAccepted means that the engine answered without an error.
	OutcomeAccepted Outcome = iota
	// OutcomeUnknown means that the answer was lost; the order may be executed.
	OutcomeUnknown
	// OutcomeNoEffect means that the order was not sent, or was refused for another
	// reason than its fencing number.
	OutcomeNoEffect
	// OutcomeFenced means that the order was refused because the engine has accepted a
	// higher fencing number.
	OutcomeFenced
)

// Server is a backend server of the service.
type Server struct {
	ID      string
	Leaving bool
}

// Action is an operation that the caller of a Planner has to perform or a change that
// is reported to it.
type Action interface{ action() }

// SendOrder requests that an order be sent once. Its outcome is passed to
// Planner.HandleOutcome.
type SendOrder struct {
	Server string
	Order  Order
	// Reason is recorded in the audit trail.
	Reason string
	// WeightsMiB is the size of the weights that the engine fetches; zero for none.
	WeightsMiB int
}

// ReadState requests a read of a server's state. The result is passed to
// Planner.HandleState or Planner.HandleReadFailure.
type ReadState struct{ Server string }

// RolloutHalted reports that the rollout of a version was halted and that its servers
// return to the previous version.
type RolloutHalted struct {
	Model, Version, PreviousVersion, Reason string
}

// StepDown reports that an engine refused an order because it has accepted one of a
// newer owner. The planner issues no more orders.
type StepDown struct{ Server string }

func (SendOrder) action()     {}
func (ReadState) action()     {}
func (RolloutHalted) action() {}
func (StepDown) action()      {}

// Settings holds the intervals and limits of a Planner.
type Settings struct {
	// ConfirmationTTL is how long orders may be issued after the last confirmation of
	// the ownership; see Planner.ConfirmOwnership.
	ConfirmationTTL time.Duration
	// SendTimeout bounds the time from a plan to the sending of its orders, during
	// which weights are reserved. The caller must not send an order later.
	SendTimeout time.Duration
	// ReadInterval is the time between two reads of a server's state.
	ReadInterval time.Duration
	// ResendDelay is the delay after which an order without an answer or a visible
	// effect is sent again.
	ResendDelay time.Duration
	// SoakTime is how long a rollout step must run before the next step begins.
	SoakTime time.Duration
	// RolloutShares are the shares of a model's servers in the rollout steps after the
	// first one, which has one server.
	RolloutShares []float64
	// HaltAfterFailures is the number of failed orders that halt a rollout.
	HaltAfterFailures int
	// MinRetryDelay and MaxRetryDelay bound the delay after an order that failed or had
	// no effect, which doubles with each consecutive one on a server.
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
