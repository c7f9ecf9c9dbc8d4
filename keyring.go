package carawayspread

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key. The keys themselves are not stored.
type KeyDigest [sha256.Size]byte

// maxStackKeyLength is the length in bytes of the longest key that is hashed without an allocation.
const maxStackKeyLength = 128

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	if len(key) > maxStackKeyLength {
		return sha256.Sum256([]byte(key))
	}
	var buffer [maxStackKeyLength]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// KeyHolder is a workspace with its API keys.
type KeyHolder struct {
	Workspace Workspace
	Keys      []string
}

// Keyring maps API keys to workspaces. It is immutable.
type Keyring struct {
	workspaces map[KeyDigest]Workspace
	ambiguous  int
}

// NewKeyring returns the keyring of these workspaces. A key that two of them hold identifies
// neither.
func NewKeyring(holders []KeyHolder) *Keyring {
	k := &Keyring{workspaces: map[KeyDigest]Workspace{}}
	ambiguous := map[KeyDigest]bool{}
	for _, holder := range holders {
		for _, key := range holder.Keys {
			digest := DigestKey(key)
			if other, held := k.workspaces[digest]; held && other.Name() != holder.Workspace.Name() {
				ambiguous[digest] = true
			}
			k.workspaces[digest] = holder.Workspace
		}
	}
	for digest := range ambiguous {
		delete(k.workspaces, digest)
	}
	k.ambiguous = len(ambiguous)
	return k
}

// Workspace returns the workspace that holds the key. The lookup is by digest, so its duration does
// not reveal how much of a guessed key is correct.
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
