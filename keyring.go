package carawayspread

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// longestDigested is the longest key that is digested without an allocation, in
// bytes.
const longestDigested = 128

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	if len(key) > longestDigested {
		return sha256.Sum256([]byte(key))
	}
	var buffer [longestDigested]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// KeyHolder is a workspace with its API keys.
type KeyHolder struct {
	Workspace Workspace
	Keys      []string
}

// Keyring says which workspace an API key belongs to. It is immutable.
type Keyring struct {
	workspaces map[KeyDigest]Workspace
	ambiguous  int
}

// NewKeyring returns the keys of these workspaces. A key that two of them hold
// identifies neither.
func NewKeyring(holders []KeyHolder) *Keyring {
	k := &Keyring{workspaces: map[KeyDigest]Workspace{}}
	shared := map[KeyDigest]bool{}
	for _, holder := range holders {
		for _, key := range holder.Keys {
			digest := DigestKey(key)
			if other, held := k.workspaces[digest]; held && other.Name() != holder.Workspace.Name() {
				shared[digest] = true
			}
			k.workspaces[digest] = holder.Workspace
		}
	}
	for digest := range shared {
		delete(k.workspaces, digest)
	}
	k.ambiguous = len(shared)
	return k
}

// Workspace returns the workspace that holds the key. The lookup goes by digest,
// so its time says nothing of how much of a guessed key is right.
func (k *Keyring) Workspace(key string) (Workspace, bool) {
	workspace, ok := k.workspaces[DigestKey(key)]
	return workspace, ok
}

// Len returns the number of keys that identify a workspace.
func (k *Keyring) Len() int { return len(k.workspaces) }

// Ambiguous returns the number of keys that more than one workspace holds.
func (k *Keyring) Ambiguous() int { return k.ambiguous }

// Names returns the names of the workspaces that hold a key.
func (k *Keyring) Names() map[string]bool {
	names := map[string]bool{}
	for _, workspace := range k.workspaces {
		names[workspace.Name()] = true
	}
	return names
}
