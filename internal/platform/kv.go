// Package platform holds the clients of what the platform gives: the
// key-value service, the cloud API, the instance list and the weight store.
// Each user defines the interface of what it needs of them.
package platform

// Entry is a key and its value as the key-value service holds them.
type Entry struct {
	Key   string
	Value []byte
	// ModifyIndex changes with every write to the key; 0 is an absent key.
	ModifyIndex uint64
	// Session is the lease that holds the key, empty when none does.
	Session string
}
