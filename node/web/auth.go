package web

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// DefaultWorkspace is the workspace of every caller when no keys are required.
const DefaultWorkspace = "default"

// configRetryAfter is the Retry-After of an instance that has no configuration yet.
const configRetryAfter = time.Second

// Authenticate returns the workspace of the key in the Authorization header and
// whether the header held a valid key. No key is needed when the configuration has
// none and the listener is on a loopback address.
func Authenticate(view *api.View, authorization string, loopback bool) (name string, authenticated bool, err error) {
	if view == nil {
		return "", false, api.Unavailable(api.CodeOverloaded, configRetryAfter, "the instance has no configuration yet")
	}
	token, ok := bearer(authorization)
	// All hashes are compared, even after a match, so that the time does not
	// depend on the key.
	sum := workspace.HashKey(token)
	match, keyCount := "", 0
	for name, ws := range view.Workspaces {
		for i := range ws.KeyHashes {
			keyCount++
			if subtle.ConstantTimeCompare(sum[:], ws.KeyHashes[i][:]) == 1 {
				match = name
			}
		}
	}
	if keyCount == 0 && loopback {
		return DefaultWorkspace, false, nil
	}
	if !ok || match == "" {
		return "", false, &api.Refusal{Code: api.CodeInvalidKey, Status: http.StatusUnauthorized, Param: "Authorization",
			Message: "a valid bearer key is required", Outcome: api.NotRun}
	}
	return match, true, nil
}

// Allowed reports whether a workspace may use a resource that is restricted to
// the given workspaces. An empty list allows all of them.
func Allowed(workspaces []string, workspace string) bool {
	return len(workspaces) == 0 || slices.Contains(workspaces, workspace)
}

func bearer(authorization string) (string, bool) {
	scheme, token, ok := strings.Cut(authorization, " ")
	token = strings.TrimSpace(token)
	return token, ok && token != "" && strings.EqualFold(scheme, "bearer")
}
