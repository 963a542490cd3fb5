// Package logbuffer holds a log in memory that a test reads while it is written.
package logbuffer

import (
	"bytes"
	"sync"
)

// Buffer holds what was written to it. The zero value is empty. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer. It returns no error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what has been written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
