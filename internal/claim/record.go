package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// rowPrefix is the key prefix of all claim rows.
const rowPrefix = "claim/"

// rowKey returns the table key of a claim. The caller's idempotency key is hashed
// because it may have any length and may contain a slash.
func rowKey(k Key) string {
	sum := sha256.Sum256([]byte(k.IdempotencyKey))
	return rowPrefix + url.PathEscape(string(k.Service)) + "/" +
		url.PathEscape(string(k.Workspace)) + "/" + hex.EncodeToString(sum[:])
}

// Record is the value stored in a claim's row.
type Record struct {
	// Done reports that Outcome is final. A record that is not done is open.
	Done    bool    `json:"done"`
	Outcome Outcome `json:"outcome,omitzero"`
	// Digest identifies the content of the request.
	Digest []byte `json:"digest"`
	// Daemon and Incarnation identify the claimant.
	Daemon      ident.Daemon `json:"daemon"`
	Incarnation uint64       `json:"incarnation"`
	// Token is unique to each call of Claim and identifies the claim permanently.
	Token ident.Attempt `json:"token"`
	// Attempt is the attempt that the claim was made for. It is informational.
	Attempt ident.Attempt `json:"attempt"`
}

func (r Record) encode() []byte {
	// Marshal cannot fail on a struct of strings, numbers and bytes.
	text, _ := json.Marshal(r)
	return text
}

// observedRow is a row as read from the table. Revision 0 means that the row does
// not exist.
type observedRow struct {
	Record
	Revision uint64
}

func decodeRow(row platform.Row) (observedRow, error) {
	observed := observedRow{Revision: row.Revision}
	if row.Revision == 0 {
		return observed, nil
	}
	if err := json.Unmarshal(row.Value, &observed.Record); err != nil {
		return observed, merry.Prependf(err, "cannot decode claim row %s", row.Key)
	}
	return observed, nil
}
