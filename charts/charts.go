// Package charts embeds the statecharts of the daemon.
package charts

import _ "embed" // for go:embed

// Daemon is the lifecycle of a daemon process.
//
//go:embed daemon.yaml
var Daemon []byte

// Target is the lifecycle of a target as its owner sees it.
//
//go:embed target.yaml
var Target []byte

// Attempt is the lifecycle of one attempt to run a request on a target.
//
//go:embed attempt.yaml
var Attempt []byte

// Member is the lifecycle of another daemon as this daemon sees it.
//
//go:embed member.yaml
var Member []byte
