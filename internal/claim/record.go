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

// rowPrefix starts the key of every claim's row.
const rowPrefix = "claim/"

// rowKey returns the key of the row. The caller's key is hashed: it is of any
// length and may hold a slash.
func rowKey(k Key) string {
	sum := sha256.Sum256([]byte(k.Idempotency))
	return rowPrefix + url.PathEscape(string(k.Service)) + "/" +
		url.PathEscape(string(k.Workspace)) + "/" + hex.EncodeToString(sum[:])
}

// Record is the value of a claim's row.
type Record struct {
	// Done tells that Outcome is final. A record that is not done is open.
	Done    bool    `json:"done"`
	Outcome Outcome `json:"outcome,omitzero"`
	// Digest is the digest of the request.
	Digest []byte `json:"digest"`
	// Daemon and Incarnation are the claimant.
	Daemon      ident.Daemon `json:"daemon"`
	Incarnation uint64       `json:"incarnation"`
	// Token is fresh for each call of Claim and names the claim for ever.
	Token ident.Attempt `json:"token"`
	// Attempt is the attempt that the claim was made for, for people.
	Attempt ident.Attempt `json:"attempt"`
}

func (r Record) encode() []byte {
	// Marshal cannot fail on a struct of strings, numbers and bytes.
	text, _ := json.Marshal(r)
	return text
}

// observed is a row as the table holds it. Revision zero: there is none.
type observed struct {
	Record
	Revision uint64
}

func decodeRow(row platform.Row) (observed, error) {
	o := observed{Revision: row.Revision}
	if row.Revision == 0 {
		return o, nil
	}
	if err := json.Unmarshal(row.Value, &o.Record); err != nil {
		return o, merry.Prependf(err, "claim row %s", row.Key)
	}
	return o, nil
}
