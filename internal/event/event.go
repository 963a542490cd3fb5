// Package event is the catalogue of numbered log events. Every line that a
// daemon logs has a number from it. docs/EVENTS.md is generated from the
// catalogue, and a test checks that it is up to date.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is unique and never reused. 1xx: daemon lifecycle, 2xx: callers, 3xx:
	// targets, 4xx: configuration and platform, 5xx: claims, leases and orders,
	// 6xx: membership and the links between daemons, 7xx: decisions.
	Number int
	// Level is the severity of the log line.
	Level slog.Level
	// Message is the message of the log line.
	Message string
	// Action tells the operator what to do; "none" where nothing is needed.
	Action string
}

var catalogue = map[int]Event{}

func define(number int, level slog.Level, message, action string) Event {
	e := Event{Number: number, Level: level, Message: message, Action: action}
	if _, exists := catalogue[number]; exists {
		panic(fmt.Sprintf("event %d is defined twice", number))
	}
	catalogue[number] = e
	return e
}

// All returns the catalogue, sorted by number.
func All() []Event {
	rows := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		rows = append(rows, e)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Number < rows[j].Number })
	return rows
}

// Log writes a log line for the event. Args are slog key-value pairs.
func (e Event) Log(l *slog.Logger, args ...any) {
	args = append([]any{slog.Int("event", e.Number)}, args...)
	l.Log(context.Background(), e.Level, e.Message, args...)
}
