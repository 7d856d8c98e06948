package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KeyHash is the SHA-256 of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key. Keys are compared byte by byte.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses a hash in hexadecimal.
func ParseKeyHash(text string) (KeyHash, error) {
	raw, err := hex.DecodeString(text)
	if err == nil && len(raw) != len(KeyHash{}) {
		err = fmt.Errorf("workspace: %d bytes are not a SHA-256", len(raw))
	}
	if err != nil {
		return KeyHash{}, err
	}
	return KeyHash(raw), nil
}

// KeyIndex holds which workspace each key belongs to. A key belongs to one workspace: the one
// that it was first added for. The zero value is empty.
type KeyIndex struct{ holders map[KeyHash]string }

// Add adds a key of a workspace. It returns the workspace that the key belongs to, which is
// another one if that already has the key.
func (x *KeyIndex) Add(key KeyHash, workspace string) (holder string) {
	if holder, ok := x.holders[key]; ok {
		return holder
	}
	if x.holders == nil {
		x.holders = map[KeyHash]string{}
	}
	x.holders[key] = workspace
	return workspace
}

// Holder returns the workspace that a key belongs to.
func (x *KeyIndex) Holder(key KeyHash) (workspace string, ok bool) {
	workspace, ok = x.holders[key]
	return workspace, ok
}

// Len returns the number of keys.
func (x *KeyIndex) Len() int { return len(x.holders) }
