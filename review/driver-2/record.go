package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the milliseconds since its start. It is safe for
// concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is for readers only; the result does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8.1f ms  %s\n", float64(time.Since(r.started).Microseconds())/1000, text)
}

func (r *record) close() { _ = r.file.Close() }
