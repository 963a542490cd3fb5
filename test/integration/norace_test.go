//go:build !race

package integration_test

var raceFlag []string
