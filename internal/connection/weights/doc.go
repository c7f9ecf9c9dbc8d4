// Package weights reads from the platform's rate-limited weight store.
package weights
