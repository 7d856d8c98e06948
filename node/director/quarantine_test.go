package director

import (
	"context"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
)

// allQuarantined quarantines every request.
type allQuarantined struct{}

func (allQuarantined) Verdict([]byte) quarantine.Verdict                 { return quarantine.Quarantined }
func (allQuarantined) Report(context.Context, suspect.CrashReport) error { return nil }
func (allQuarantined) RanAlone([]byte)                                   {}

// Guards against a sound item that is given up because servers crashed while they ran it:
// items are never the cause, so that it is still owed.
func TestQuarantinedItemIsOwed(t *testing.T) {
	runWithQuarantine(t, 2, newSource(prompts(1)...), allQuarantined{}, func(t *testing.T, env *testEnv) {
		time.Sleep(10 * time.Minute)
		env.checkResults(t)
	})
}
