package attempt_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Guards against an engine that holds an attempt forever with chunks that hold no token.
func TestChunksWithoutTokensTimeOut(t *testing.T) {
	is := is.New(t)
	address, _ := serveStreams(t, func(w io.Writer) error {
		for {
			if _, err := fmt.Fprintf(w, "id: 0\ndata: {\"tokens\":0}\n\n"); err != nil {
				return err
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	req := modelRequest(address, "x", 1)
	req.FirstTokenTimeout = 100 * time.Millisecond
	done := make(chan attempt.Result, 1)
	runner := newRunner(t, shortTimeouts())
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() { done <- runner.Model(ctx, req, &chunkRecorder{}) }()
	select {
	case got := <-done:
		is.True(got.Failure != nil)
		is.Equal(got.Failure.Code.Name, resultcode.TargetStalled.Name)
	case <-ctx.Done():
		t.Error("the attempt does not end")
		<-done
	}
}
