// Package charts embeds the state charts that the daemon interprets.
package charts

import _ "embed" // the charts are embedded files

// Daemon is the life of a daemon process.
//
//go:embed daemon.yaml
var Daemon []byte

// Target is the life of one target as its owner sees it.
//
//go:embed target.yaml
var Target []byte

// Attempt is one try at running a request on a target.
//
//go:embed attempt.yaml
var Attempt []byte

// Member is what a daemon holds of another daemon.
//
//go:embed member.yaml
var Member []byte
