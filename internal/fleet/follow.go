package fleet

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// Follow reads rows of the platform's store from a peer. The error is
// platform.ErrHistoryLost if the peer does not know all changes since q.After, and
// platform.ErrReaderNotCurrent if the peer is not up to date with the store.
func (n *Node) Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	c, err := n.client(reader)
	if err != nil {
		return platform.FeedAnswer{}, err
	}
	reply, err := c.Follow(ctx, &fleetv1.FollowRequest{
		Table: q.Table, After: q.After.Number(), AfterEra: q.After.Era(), Whole: q.FullTable, WaitMs: uint32(q.Wait.Milliseconds()),
	})
	switch status.Code(err) {
	case codes.OK:
	case codes.OutOfRange:
		return platform.FeedAnswer{}, platform.ErrHistoryLost
	case codes.FailedPrecondition:
		return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
	default:
		return platform.FeedAnswer{}, merry.Prependf(err, "follow table %s at %s", q.Table, reader)
	}
	answer := platform.FeedAnswer{
		Revision: platform.NewRevision(reply.GetEra(), reply.GetRevision()),
		Rows:     make([]platform.FeedRow, 0, len(reply.GetRows())),
		Age:      time.Duration(reply.GetAgeMs()) * time.Millisecond,
	}
	for _, row := range reply.GetRows() {
		answer.Rows = append(answer.Rows, platform.FeedRow{
			Key: row.GetKey(), Value: row.GetValue(), Revision: platform.NewRevision(reply.GetEra(), row.GetRevision()), Deleted: row.GetDeleted(),
		})
	}
	return answer, nil
}

// Follow implements fleetv1.FleetServer.
func (s *server) Follow(ctx context.Context, r *fleetv1.FollowRequest) (*fleetv1.FollowReply, error) {
	answer, err := s.node.handler.Follow(ctx, platform.FeedQuery{
		Table: r.GetTable(), After: platform.NewRevision(r.GetAfterEra(), r.GetAfter()), FullTable: r.GetWhole(),
		Wait: time.Duration(r.GetWaitMs()) * time.Millisecond,
	})
	switch {
	case errors.Is(err, platform.ErrHistoryLost):
		return nil, status.Error(codes.OutOfRange, err.Error())
	case errors.Is(err, platform.ErrReaderNotCurrent):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &fleetv1.FollowReply{Revision: answer.Revision.Number(), Era: answer.Revision.Era(), AgeMs: encodeAge(answer.Age)}
	for _, row := range answer.Rows {
		reply.Rows = append(reply.Rows, &fleetv1.Row{
			Key: row.Key, Value: row.Value, Revision: row.Revision.Number(), Deleted: row.Deleted,
		})
	}
	return reply, nil
}

// encodeAge returns an age in milliseconds, rounded up.
func encodeAge(age time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, (age+time.Millisecond-1)/time.Millisecond)))
}
